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

/** Checks how calls are distributed to versions, nodes and data centres. Stateless. */
final class TrafficChecks {
    /**
     * Time after which a version that was rolled back, a draining node or a data centre that was
     * taken out may get no new calls.
     */
    private static final long GRACE_MILLIS = 5000;

    /**
     * Largest share of a service's calls that a version may have got before it is rolled back,
     * counted from the first call to the version until the decision.
     */
    private static final double MAX_BAD_VERSION_SHARE = 0.2;

    /** Below this number of calls the share of a version is not checked. */
    private static final int MIN_CALLS_FOR_SHARE_CHECK = 50;

    /** Concurrency limit of a backend server that was just started; the default of a node. */
    private static final int SLOW_START_INITIAL_LIMIT = 2;

    /**
     * Largest growth of the limit per answer under the default limit rule, {@code additive}. The
     * check counts forwarded calls instead of answers, so its limit is never below that of the
     * node.
     */
    private static final double SLOW_START_GROWTH_PER_CALL = 0.25;

    private TrafficChecks() {}

    static List<Violation> checkRolledBackVersions(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (TimelineEvent verdict : trace.ofKind(EventKind.VERDICT)) {
            if (verdict.text("detail").startsWith("TAKE_BACK")) {
                checkStopped(trace, verdict, violations);
                checkShare(trace, verdict, violations);
            }
        }
        return violations;
    }

    private static void checkStopped(
            Trace trace, TimelineEvent verdict, List<Violation> violations) {
        for (TimelineEvent call : callsTo(trace, verdict)) {
            if (Trace.wallMillis(call) > Trace.wallMillis(verdict) + GRACE_MILLIS) {
                violations.add(
                        new Violation(
                                Invariant.BAD_VERSION_STOPPED,
                                call,
                                "sent to a version taken back over 5 s before"));
            }
        }
    }

    private static List<TimelineEvent> callsTo(Trace trace, TimelineEvent verdict) {
        return trace.matching(
                event ->
                        Trace.isKind(event, EventKind.CALL_SENT)
                                && event.text("service").equals(verdict.text("service"))
                                && event.text("serviceVersion")
                                        .equals(verdict.text("serviceVersion")));
    }

    private static void checkShare(Trace trace, TimelineEvent verdict, List<Violation> violations) {
        List<TimelineEvent> badVersionCalls = callsTo(trace, verdict);
        if (badVersionCalls.isEmpty()) {
            return;
        }
        long fromMillis = Trace.wallMillis(badVersionCalls.get(0));
        long serviceCallCount =
                trace.ofKind(EventKind.CALL_SENT).stream()
                        .filter(e -> e.text("service").equals(verdict.text("service")))
                        .filter(e -> Trace.wallMillis(e) >= fromMillis)
                        .filter(e -> e.hybrid() <= verdict.hybrid())
                        .count();
        long badVersionCallCount =
                badVersionCalls.stream().filter(e -> e.hybrid() <= verdict.hybrid()).count();
        if (serviceCallCount >= MIN_CALLS_FOR_SHARE_CHECK
                && badVersionCallCount > serviceCallCount * MAX_BAD_VERSION_SHARE) {
            violations.add(
                    new Violation(
                            Invariant.BAD_VERSION_STOPPED,
                            verdict,
                            badVersionCallCount
                                    + " of "
                                    + serviceCallCount
                                    + " calls went to the bad version"));
        }
    }

    static List<Violation> checkSlowStartLimit(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Integer> forwardedCalls = new HashMap<>();
        for (TimelineEvent event : trace.ofKind(EventKind.CALL_HANDED_OVER)) {
            int previousCalls = forwardedCalls.merge(Trace.process(event), 1, Integer::sum) - 1;
            double limit = SLOW_START_INITIAL_LIMIT + previousCalls * SLOW_START_GROWTH_PER_CALL;
            if (event.number("value") > limit) {
                violations.add(
                        new Violation(
                                Invariant.COLD_START_SPARED,
                                event,
                                event.number("value")
                                        + " in flight after "
                                        + previousCalls
                                        + " calls"));
            }
        }
        return violations;
    }

    static List<Violation> checkDataCentresOut(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Long> outSince = new HashMap<>();
        long highest = 0;
        for (TimelineEvent event : trace.events()) {
            if (Trace.isKind(event, EventKind.CONFIG_APPLIED) && event.number("value") > highest) {
                highest = event.number("value");
                Set<String> out =
                        new HashSet<>(Arrays.asList(Trace.detailValue(event, "out").split(",")));
                outSince.keySet().retainAll(out);
                out.forEach(name -> outSince.putIfAbsent(name, Trace.wallMillis(event)));
            } else if (Trace.isKind(event, EventKind.CALL_HANDED_OVER)) {
                Long since = outSince.get(event.text("dataCentre"));
                if (since != null && Trace.wallMillis(event) > since + GRACE_MILLIS) {
                    violations.add(
                            new Violation(
                                    Invariant.DATA_CENTRE_OUT,
                                    event,
                                    "work in a data centre taken out over 5 s before"));
                }
            }
        }
        return violations;
    }

    static List<Violation> checkLeavingNodes(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Long> leavingSince = new HashMap<>();
        for (TimelineEvent event : trace.events()) {
            String process = Trace.process(event);
            if (Trace.isKind(event, EventKind.DRAIN_STARTED)) {
                leavingSince.putIfAbsent(process, Trace.wallMillis(event));
            } else if (isUpAgain(event)) {
                leavingSince.remove(process);
            } else if (Trace.isKind(event, EventKind.CALL_HANDED_OVER)) {
                Long since = leavingSince.get(process);
                if (since != null && Trace.wallMillis(event) > since + GRACE_MILLIS) {
                    violations.add(
                            new Violation(
                                    Invariant.LEAVING_SPARED,
                                    event,
                                    "work at a node that began to leave over 5 s before"));
                }
            }
        }
        return violations;
    }

    private static boolean isUpAgain(TimelineEvent event) {
        return Trace.isKind(event, EventKind.MEMBER_CHANGED)
                && event.text("peer").equals(event.node())
                && event.text("detail").equals("MEMBER_STATE_UP");
    }
}
