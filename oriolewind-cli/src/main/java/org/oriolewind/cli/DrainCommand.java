package org.oriolewind.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.oriolewind.config.NameSetEdit;
import org.oriolewind.config.PublishResult;
import org.oriolewind.error.OperationException;

/**
 * Marks a node as drained in the configuration, or removes the mark. A node can be drained only if
 * it is a member; the mark of a node that has left can still be removed. Stateless.
 */
final class DrainCommand implements CliCommand {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String usage() {
        return "drain [--undo] NODE";
    }

    @Override
    public String summary() {
        return "keep new work from a node's backend server; calls in progress go on";
    }

    @Override
    public void addOptions(Options options) {
        options.addOption(Option.builder().longOpt("undo").get());
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws OperationException {
        String node = CliContext.arguments(line, 1, 1, usage()).get(0);
        boolean drain = !line.hasOption("undo");
        if (drain
                && MemberReader.read(context.store(line)).stream()
                        .noneMatch(member -> member.getNode().equals(node))) {
            throw new CliException(
                    ExitStatus.BAD_INPUT,
                    "check arguments",
                    "no node has announced itself as " + node,
                    null);
        }
        NameSetEdit edit = new NameSetEdit(NameSetEdit.Target.DRAINED_NODES, node, drain);
        PublishResult result = context.publisher(line).publish(edit);
        context.out()
                .printf(
                        "node %s %s%s; configuration version %d%n",
                        node,
                        drain ? "takes no new work" : "takes work",
                        result.changed() ? "" : " already",
                        result.head().config().version());
        return ExitStatus.OK;
    }
}
