package org.oriolewind.cli.replay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.event.EventKind;

/** Checks of where traffic goes. Stateless. */
final class TrafficChecks {
    /** Time after which no new work may arrive. */
    private static final long GRACE_MILLIS = 5000;

    /** Largest share of the calls that a version later taken back may have got. */
    private static final double MAX_BAD_SHARE = 0.2;

    private static final int MIN_CALLS_FOR_SHARE = 50;

    /** Limit of a cold backend server, its growth an answer, and the default of both. */
    private static final int INITIAL_LIMIT = 2;

    private static final double GROWTH_PER_CALL = 0.25;

    private TrafficChecks() {}

    static List<Violation> badVersionStopped(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (TimelineEvent verdict : trace.of(EventKind.VERDICT)) {
            if (verdict.text("detail").startsWith("TAKE_BACK")) {
                checkStopped(trace, verdict, violations);
                checkShare(trace, verdict, violations);
            }
        }
        return violations;
    }

    private static void checkStopped(
            Trace trace, TimelineEvent verdict, List<Violation> violations) {
        for (TimelineEvent sent : callsTo(trace, verdict)) {
            if (Trace.millis(sent) > Trace.millis(verdict) + GRACE_MILLIS) {
                violations.add(
                        new Violation(
                                Promise.BAD_VERSION_STOPPED,
                                sent,
                                "sent to a version taken back over 5 s before"));
            }
        }
    }

    private static List<TimelineEvent> callsTo(Trace trace, TimelineEvent verdict) {
        return trace.where(
                event ->
                        Trace.is(event, EventKind.CALL_SENT)
                                && event.text("service").equals(verdict.text("service"))
                                && event.text("serviceVersion")
                                        .equals(verdict.text("serviceVersion")));
    }

    private static void checkShare(Trace trace, TimelineEvent verdict, List<Violation> violations) {
        List<TimelineEvent> bad = callsTo(trace, verdict);
        if (bad.isEmpty()) {
            return;
        }
        long fromMillis = Trace.millis(bad.get(0));
        long all =
                trace.of(EventKind.CALL_SENT).stream()
                        .filter(e -> e.text("service").equals(verdict.text("service")))
                        .filter(e -> Trace.millis(e) >= fromMillis)
                        .filter(e -> e.hybrid() <= verdict.hybrid())
                        .count();
        long sent = bad.stream().filter(e -> e.hybrid() <= verdict.hybrid()).count();
        if (all >= MIN_CALLS_FOR_SHARE && sent > all * MAX_BAD_SHARE) {
            violations.add(
                    new Violation(
                            Promise.BAD_VERSION_STOPPED,
                            verdict,
                            sent + " of " + all + " calls went to the bad version"));
        }
    }

    static List<Violation> coldStartSpared(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Integer> handedOver = new HashMap<>();
        for (TimelineEvent event : trace.of(EventKind.CALL_HANDED_OVER)) {
            int before = handedOver.merge(Trace.process(event), 1, Integer::sum) - 1;
            double limit = INITIAL_LIMIT + before * GROWTH_PER_CALL;
            if (event.number("value") > limit) {
                violations.add(
                        new Violation(
                                Promise.COLD_START_SPARED,
                                event,
                                event.number("value") + " in flight after " + before + " calls"));
            }
        }
        return violations;
    }

    static List<Violation> dataCentreOut(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Long> outSince = new HashMap<>();
        long highest = 0;
        for (TimelineEvent event : trace.events()) {
            if (Trace.is(event, EventKind.CONFIG_APPLIED) && event.number("value") > highest) {
                highest = event.number("value");
                Set<String> out =
                        new HashSet<>(Arrays.asList(Trace.detail(event, "out").split(",")));
                outSince.keySet().retainAll(out);
                out.forEach(name -> outSince.putIfAbsent(name, Trace.millis(event)));
            } else if (Trace.is(event, EventKind.CALL_HANDED_OVER)) {
                Long since = outSince.get(event.text("dataCentre"));
                if (since != null && Trace.millis(event) > since + GRACE_MILLIS) {
                    violations.add(
                            new Violation(
                                    Promise.DATA_CENTRE_OUT,
                                    event,
                                    "work in a data centre taken out over 5 s before"));
                }
            }
        }
        return violations;
    }

    static List<Violation> leavingSpared(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Long> leavingSince = new HashMap<>();
        for (TimelineEvent event : trace.events()) {
            String process = Trace.process(event);
            if (Trace.is(event, EventKind.DRAIN_STARTED)) {
                leavingSince.putIfAbsent(process, Trace.millis(event));
            } else if (isBackUp(event)) {
                leavingSince.remove(process);
            } else if (Trace.is(event, EventKind.CALL_HANDED_OVER)) {
                Long since = leavingSince.get(process);
                if (since != null && Trace.millis(event) > since + GRACE_MILLIS) {
                    violations.add(
                            new Violation(
                                    Promise.LEAVING_SPARED,
                                    event,
                                    "work at a node that began to leave over 5 s before"));
                }
            }
        }
        return violations;
    }

    private static boolean isBackUp(TimelineEvent event) {
        return Trace.is(event, EventKind.MEMBER_CHANGED)
                && event.text("peer").equals(event.node())
                && event.text("detail").equals("MEMBER_STATE_UP");
    }
}
