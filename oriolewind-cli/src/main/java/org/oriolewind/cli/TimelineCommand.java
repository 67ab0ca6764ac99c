package org.oriolewind.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.oriolewind.cli.timeline.LogLine;
import org.oriolewind.cli.timeline.LogReader;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.cli.timeline.TimelineReader;
import org.oriolewind.time.HybridClock;

/** Prints the events or log lines of many processes in time order. Stateless. */
final class TimelineCommand implements CliCommand {
    private static final List<String> DETAIL_FIELDS =
            List.of(
                    "call",
                    "note",
                    "service",
                    "serviceVersion",
                    "route",
                    "peer",
                    "value",
                    "detail");

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String usage() {
        return "timeline [--call ID] [--note ID] [--node NAME] [--json | --logs] FILE...";
    }

    @Override
    public String summary() {
        return "merge the events of many processes into one order";
    }

    @Override
    public void addOptions(Options options) {
        options.addOption(Option.builder().longOpt("call").hasArg().get());
        options.addOption(Option.builder().longOpt("note").hasArg().get());
        options.addOption(Option.builder().longOpt("node").hasArg().get());
        options.addOption(Option.builder().longOpt("json").get());
        options.addOption(Option.builder().longOpt("logs").get());
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws CliException {
        List<String> files = CliContext.arguments(line, 1, Integer.MAX_VALUE, usage());
        if (line.hasOption("logs")) {
            printLogs(context, line, files);
            return ExitStatus.OK;
        }
        for (TimelineEvent event : readEvents(files)) {
            if (matches(event, line)) {
                context.out().println(line.hasOption("json") ? event.json() : text(event));
            }
        }
        return ExitStatus.OK;
    }

    /** Prints log lines instead of events: nodes that run on the platform write no events. */
    private static void printLogs(CliContext context, CommandLine line, List<String> files)
            throws CliException {
        List<Path> paths = files.stream().map(Path::of).toList();
        String request = line.getOptionValue("call");
        String node = line.getOptionValue("node");
        try {
            List<LogLine> lines =
                    request == null
                            ? LogReader.readAll(paths)
                            : LogReader.readRequest(request, paths);
            lines.stream()
                    .filter(l -> node == null || l.process().equals(node))
                    .forEach(l -> context.out().println(l.text()));
        } catch (IOException e) {
            throw new CliException(
                    ExitStatus.BAD_INPUT, "read logs", "can't read " + e.getMessage(), e);
        }
    }

    static List<TimelineEvent> readEvents(List<String> files) throws CliException {
        try {
            return TimelineReader.read(files.stream().map(Path::of).toList());
        } catch (IOException e) {
            throw new CliException(
                    ExitStatus.BAD_INPUT, "read events", "can't read " + e.getMessage(), e);
        }
    }

    private static boolean matches(TimelineEvent event, CommandLine line) {
        for (String field : List.of("call", "note", "node")) {
            String wanted = line.getOptionValue(field);
            if (wanted != null && !wanted.equals(event.text(field))) {
                return false;
            }
        }
        return true;
    }

    private static String text(TimelineEvent event) {
        StringBuilder text = new StringBuilder();
        Instant at = Instant.ofEpochMilli(HybridClock.wallMillis(event.hybrid()));
        text.append(
                String.format(
                        "%s %-20s v%-5d %-16s",
                        at, event.node(), event.number("config"), event.text("kind")));
        for (String field : DETAIL_FIELDS) {
            String value = event.text(field);
            if (!value.isEmpty()) {
                text.append(' ').append(field).append('=').append(value);
            }
        }
        return text.toString();
    }
}
