package org.oriolewind.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oriolewind.error.OperationException;

/** One command of {@code oriolewind}. Implementations are stateless. */
interface CliCommand {
    /** Returns the command's name. */
    String name();

    /** Returns the arguments and flags, for help. */
    String usage();

    /** Returns what the command does, in one line. */
    String summary();

    /** Adds the command's own flags. */
    default void addOptions(Options options) {}

    /**
     * Runs the command.
     *
     * @throws OperationException if it does not succeed
     */
    ExitStatus run(CliContext context, CommandLine line) throws OperationException;
}
