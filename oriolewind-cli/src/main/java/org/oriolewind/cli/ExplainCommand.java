package org.oriolewind.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.oriolewind.cli.timeline.LogLine;
import org.oriolewind.cli.timeline.LogReader;

/**
 * Prints the log lines of all processes about one request, and the process that ended it.
 * Stateless.
 */
final class ExplainCommand implements CliCommand {
    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String usage() {
        return "explain REQUEST-ID FILE...";
    }

    @Override
    public String summary() {
        return "print what happened to a request, over the logs of all processes";
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws CliException {
        List<String> arguments = CliContext.arguments(line, 2, Integer.MAX_VALUE, usage());
        String id = arguments.get(0);
        List<Path> files = arguments.stream().skip(1).map(Path::of).toList();
        List<LogLine> lines;
        try {
            lines = LogReader.readRequest(id, files);
        } catch (IOException e) {
            throw new CliException(
                    ExitStatus.BAD_INPUT, "read logs", "can't read " + e.getMessage(), e);
        }
        if (lines.isEmpty()) {
            context.out().println("no line mentions " + id + ": it was answered, or never came");
            return ExitStatus.FAILED;
        }
        lines.forEach(l -> context.out().println(l.text()));
        lines.stream()
                .filter(l -> l.endsRequest(id))
                .reduce((first, last) -> last)
                .ifPresent(l -> context.out().println("ended by " + l.process()));
        return ExitStatus.OK;
    }
}
