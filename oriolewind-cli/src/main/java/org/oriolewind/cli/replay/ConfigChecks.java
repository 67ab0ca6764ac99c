package org.oriolewind.cli.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.event.EventKind;

/** Checks how configuration versions are applied and used. Stateless. */
final class ConfigChecks {
    /** Time from the first node that applies a version until all running nodes must have it. */
    private static final long MAX_PROPAGATION_MILLIS = 5000;

    private ConfigChecks() {}

    static List<Violation> checkVersionIncreases(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Long> appliedByProcess = new HashMap<>();
        Map<String, Long> usedByNode = new HashMap<>();
        for (TimelineEvent event : trace.events()) {
            if (Trace.isKind(event, EventKind.CONFIG_APPLIED)) {
                Long before = appliedByProcess.put(Trace.process(event), event.number("value"));
                if (before != null && event.number("value") <= before) {
                    violations.add(
                            versionRegression(event, "applied version %d after %d", event, before));
                }
            } else if (Trace.isKind(event, EventKind.CALL_BEGUN)) {
                long used = event.number("value");
                long before = usedByNode.merge(event.node(), used, Math::max);
                if (used < before && !isConcurrent(event, appliedByProcess, used)) {
                    violations.add(
                            versionRegression(
                                    event, "call runs on version %d after %d", event, before));
                }
            }
        }
        return violations;
    }

    /**
     * Returns whether a call uses the version just before the one in force. A call keeps the
     * version that it started with, and its event may be written just after the next version was
     * applied.
     */
    private static boolean isConcurrent(TimelineEvent event, Map<String, Long> applied, long used) {
        Long inForce = applied.get(Trace.process(event));
        return inForce != null && inForce == used + 1;
    }

    private static Violation versionRegression(
            TimelineEvent event, String format, TimelineEvent current, long before) {
        return new Violation(
                Invariant.VERSION_NEVER_BACK,
                event,
                String.format(format, current.number("value"), before));
    }

    static List<Violation> checkRoutesResolved(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (TimelineEvent event : trace.ofKind(EventKind.CONFIG_APPLIED)) {
            String unresolved = Trace.detailValue(event, "unresolved");
            if (!unresolved.isEmpty() && !unresolved.equals("0")) {
                violations.add(
                        new Violation(
                                Invariant.ROUTES_RESOLVE,
                                event,
                                unresolved + " unresolved routes"));
            }
        }
        return violations;
    }

    static List<Violation> checkSameContent(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<Long, String> digests = new HashMap<>();
        for (TimelineEvent event : trace.ofKind(EventKind.CONFIG_APPLIED)) {
            String digest = Trace.detailValue(event, "digest");
            String first = digests.putIfAbsent(event.number("value"), digest);
            if (first != null && !first.equals(digest)) {
                violations.add(
                        new Violation(
                                Invariant.APPLIED_WHOLE,
                                event,
                                "content differs from that of other nodes"));
            }
        }
        return violations;
    }

    static List<Violation> checkPropagation(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<Long, TimelineEvent> firstApplied = new HashMap<>();
        for (TimelineEvent event : trace.ofKind(EventKind.CONFIG_APPLIED)) {
            firstApplied.putIfAbsent(event.number("value"), event);
        }
        for (ProcessHistory history : ProcessHistory.of(trace)) {
            for (TimelineEvent first : firstApplied.values()) {
                long dueMillis = Trace.wallMillis(first) + MAX_PROPAGATION_MILLIS;
                boolean ranThroughout =
                        history.mFirstAppliedMillis <= Trace.wallMillis(first)
                                && history.mLastEventMillis >= dueMillis;
                if (ranThroughout && history.versionAt(dueMillis) < first.number("value")) {
                    violations.add(
                            new Violation(
                                    Invariant.IN_FORCE_SOON,
                                    first,
                                    "not in force at " + history.mProcess + " after 5 s"));
                }
            }
        }
        return violations;
    }

    /**
     * The versions that a process applied, and the time between the first of them and the last
     * event of the process.
     */
    private static final class ProcessHistory {
        final String mProcess;
        final List<TimelineEvent> mApplied = new ArrayList<>();
        long mFirstAppliedMillis = Long.MAX_VALUE;
        long mLastEventMillis;

        ProcessHistory(String process) {
            mProcess = process;
        }

        static List<ProcessHistory> of(Trace trace) {
            Map<String, ProcessHistory> histories = new HashMap<>();
            for (TimelineEvent event : trace.events()) {
                ProcessHistory history =
                        histories.computeIfAbsent(Trace.process(event), ProcessHistory::new);
                if (Trace.isKind(event, EventKind.CONFIG_APPLIED)) {
                    history.mFirstAppliedMillis =
                            Math.min(history.mFirstAppliedMillis, Trace.wallMillis(event));
                    history.mApplied.add(event);
                }
                history.mLastEventMillis = Trace.wallMillis(event);
            }
            return List.copyOf(histories.values());
        }

        long versionAt(long millis) {
            long version = 0;
            for (TimelineEvent event : mApplied) {
                if (Trace.wallMillis(event) <= millis) {
                    version = Math.max(version, event.number("value"));
                }
            }
            return version;
        }
    }
}
