package org.oriolewind.cli;

import org.apache.commons.cli.CommandLine;
import org.oriolewind.config.PublishResult;
import org.oriolewind.config.ReleaseNote;
import org.oriolewind.error.OperationException;

/** Publishes a release note. Publishing the same note again changes nothing. Stateless. */
final class PublishCommand implements CliCommand {
    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String usage() {
        return "publish NOTE";
    }

    @Override
    public String summary() {
        return "bring a release note into force; the same note twice is one change";
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws OperationException {
        String file = CliContext.arguments(line, 1, 1, usage()).get(0);
        ReleaseNote note = CliContext.readNote(file);
        PublishResult result = context.publisher(line).publish(note);
        context.out()
                .printf(
                        result.changed()
                                ? "note %s is published; configuration version %d%n"
                                : "note %s was published before; configuration version is %d%n",
                        note.id(),
                        result.head().config().version());
        return ExitStatus.OK;
    }
}
