package org.oriolewind.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.error.OperationException;
import org.oriolewind.node.peer.ConfigVersionQuery;
import org.oriolewind.wire.Member;

/**
 * Lists the members with the configuration version that each reports. The version is missing for a
 * node that does not respond. Stateless.
 */
final class NodesCommand implements CliCommand {
    @Override
    public String name() {
        return "nodes";
    }

    @Override
    public String usage() {
        return "nodes [--json]";
    }

    @Override
    public String summary() {
        return "list the nodes, each with its state and configuration version";
    }

    @Override
    public void addOptions(Options options) {
        options.addOption(Option.builder().longOpt("json").get());
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws OperationException {
        CliContext.arguments(line, 0, 0, usage());
        List<Member> members = MemberReader.read(context.store(line));
        Map<String, Long> versions = ConfigVersionQuery.query(members);
        if (line.hasOption("json")) {
            printJson(context, members, versions);
        } else {
            printTable(context, members, versions);
        }
        return ExitStatus.OK;
    }

    private static String state(Member member) {
        return member.getState().name().substring("MEMBER_STATE_".length()).toLowerCase();
    }

    private static void printTable(
            CliContext context, List<Member> members, Map<String, Long> versions) {
        context.out()
                .printf(
                        "%-24s %-18s %-20s %-8s %s%n",
                        "NODE", "DATA CENTRE", "SERVICE", "STATE", "CONFIG");
        for (Member member : members) {
            Long version = versions.get(member.getNode());
            context.out()
                    .printf(
                            "%-24s %-18s %-20s %-8s %s%n",
                            member.getNode(),
                            member.getDataCentre(),
                            member.getService() + "/" + member.getServiceVersion(),
                            state(member),
                            version == null ? "no answer" : version.toString());
        }
    }

    private static void printJson(
            CliContext context, List<Member> members, Map<String, Long> versions) {
        ArrayNode array = JsonFormat.mapper().createArrayNode();
        for (Member member : members) {
            array.addObject()
                    .put("node", member.getNode())
                    .put("dataCentre", member.getDataCentre())
                    .put("service", member.getService())
                    .put("version", member.getServiceVersion())
                    .put("state", state(member))
                    .put("incarnation", member.getIncarnation())
                    .put("configVersion", versions.get(member.getNode()));
        }
        context.out().println(array.toPrettyString());
    }
}
