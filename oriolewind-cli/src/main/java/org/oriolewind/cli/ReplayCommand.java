package org.oriolewind.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.oriolewind.cli.replay.Invariant;
import org.oriolewind.cli.replay.Trace;
import org.oriolewind.cli.replay.Violation;
import org.oriolewind.cli.timeline.TimelineEvent;

/** Checks a recorded trace against each {@link Invariant} and prints the violations. Stateless. */
final class ReplayCommand implements CliCommand {
    private static final int MAX_VIOLATIONS_PER_INVARIANT = 10;

    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String usage() {
        return "replay FILE...";
    }

    @Override
    public String summary() {
        return "check recorded events against what must always hold; exit status 1 if broken";
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws CliException {
        List<String> files = CliContext.arguments(line, 1, Integer.MAX_VALUE, usage());
        List<TimelineEvent> events = TimelineCommand.readEvents(files);
        if (events.isEmpty()) {
            throw new CliException(
                    ExitStatus.BAD_INPUT, "read events", "the files hold no events", null);
        }
        Trace trace = new Trace(events);
        boolean broken = false;
        for (Invariant invariant : Invariant.values()) {
            List<Violation> violations = invariant.check(trace);
            broken |= !violations.isEmpty();
            context.out()
                    .printf(
                            "%-6s %s%n",
                            violations.isEmpty() ? "held" : "BROKEN", invariant.title());
            violations.stream()
                    .limit(MAX_VIOLATIONS_PER_INVARIANT)
                    .forEach(v -> context.out().println("       " + v));
        }
        context.out().printf("%d events checked%n", events.size());
        return broken ? ExitStatus.FAILED : ExitStatus.OK;
    }
}
