package org.oriolewind.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oriolewind.error.OperationException;

/** A subcommand of {@code oriolewind}. Implementations are stateless. */
interface CliCommand {
    /** Returns the name by which the command is selected, the first argument. */
    String name();

    /** Returns the name, flags and arguments as help shows them. */
    String usage();

    /** Returns the description that help shows, one line. */
    String summary();

    /** Adds the flags of this command to those that all commands accept. */
    default void addOptions(Options options) {}

    /**
     * Runs the command in the calling thread and prints its results.
     *
     * @throws OperationException if the command fails; the caller prints the message and derives
     *     the exit status from the type
     */
    ExitStatus run(CliContext context, CommandLine line) throws OperationException;
}
