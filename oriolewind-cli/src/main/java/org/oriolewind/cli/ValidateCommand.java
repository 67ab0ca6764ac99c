package org.oriolewind.cli;

import org.apache.commons.cli.CommandLine;
import org.oriolewind.config.PublishResult;
import org.oriolewind.config.ReleaseNote;
import org.oriolewind.error.OperationException;

/** Checks a release note against the configuration in force without writing anything. Stateless. */
final class ValidateCommand implements CliCommand {
    @Override
    public String name() {
        return "validate";
    }

    @Override
    public String usage() {
        return "validate NOTE";
    }

    @Override
    public String summary() {
        return "check a release note against the configuration in force; writes nothing";
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws OperationException {
        String file = CliContext.arguments(line, 1, 1, usage()).get(0);
        ReleaseNote note = CliContext.readNote(file);
        PublishResult result = context.publisher(line).validate(note);
        context.out()
                .printf(
                        result.changed()
                                ? "%s: note %s is valid on configuration version %d%n"
                                : "%s: note %s is in force already, configuration version %d%n",
                        file,
                        note.id(),
                        result.head().config().version());
        return ExitStatus.OK;
    }
}
