package org.oriolewind.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.oriolewind.config.NameSetEdit;
import org.oriolewind.config.PublishResult;
import org.oriolewind.error.OperationException;

/**
 * Marks a data centre as out of service in the configuration, or removes the mark. At least one
 * member must be in the data centre. Stateless.
 */
final class DataCentreCommand implements CliCommand {
    @Override
    public String name() {
        return "data-centre";
    }

    @Override
    public String usage() {
        return "data-centre out|in NAME";
    }

    @Override
    public String summary() {
        return "take a data centre out, or bring it back";
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws OperationException {
        List<String> arguments = CliContext.arguments(line, 2, 2, usage());
        String direction = arguments.get(0);
        String name = arguments.get(1);
        if (!direction.equals("out") && !direction.equals("in")) {
            throw new CliException(
                    ExitStatus.BAD_INPUT, "check arguments", "usage: oriolewind " + usage(), null);
        }
        if (MemberReader.read(context.store(line)).stream()
                .noneMatch(member -> member.getDataCentre().equals(name))) {
            throw new CliException(
                    ExitStatus.BAD_INPUT,
                    "check arguments",
                    "no node has announced itself from data centre " + name,
                    null);
        }
        NameSetEdit edit =
                new NameSetEdit(NameSetEdit.Target.DATA_CENTRES_OUT, name, direction.equals("out"));
        PublishResult result = context.publisher(line).publish(edit);
        context.out()
                .printf(
                        "data centre %s is %s%s; configuration version %d%n",
                        name,
                        direction,
                        result.changed() ? "" : " already",
                        result.head().config().version());
        return ExitStatus.OK;
    }
}
