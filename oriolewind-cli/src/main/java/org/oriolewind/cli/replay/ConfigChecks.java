package org.oriolewind.cli.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.event.EventKind;

/** Checks of configuration. Stateless. */
final class ConfigChecks {
    /** Time within which a version is in force at every node that runs. */
    private static final long IN_FORCE_MILLIS = 5000;

    private ConfigChecks() {}

    static List<Violation> versionNeverBack(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Long> appliedByProcess = new HashMap<>();
        Map<String, Long> usedByNode = new HashMap<>();
        for (TimelineEvent event : trace.events()) {
            if (Trace.is(event, EventKind.CONFIG_APPLIED)) {
                Long before = appliedByProcess.put(Trace.process(event), event.number("value"));
                if (before != null && event.number("value") <= before) {
                    violations.add(back(event, "applied version %d after %d", event, before));
                }
            } else if (Trace.is(event, EventKind.CALL_BEGUN)) {
                long used = event.number("value");
                long before = usedByNode.merge(event.node(), used, Math::max);
                if (used < before && !isConcurrent(event, appliedByProcess, used)) {
                    violations.add(back(event, "call runs on version %d after %d", event, before));
                }
            }
        }
        return violations;
    }

    /** A call keeps the version it began with; its event may be written just after a newer one. */
    private static boolean isConcurrent(TimelineEvent event, Map<String, Long> applied, long used) {
        Long inForce = applied.get(Trace.process(event));
        return inForce != null && inForce == used + 1;
    }

    private static Violation back(
            TimelineEvent event, String format, TimelineEvent now, long before) {
        return new Violation(
                Promise.VERSION_NEVER_BACK,
                event,
                String.format(format, now.number("value"), before));
    }

    static List<Violation> routesResolve(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (TimelineEvent event : trace.of(EventKind.CONFIG_APPLIED)) {
            String unresolved = Trace.detail(event, "unresolved");
            if (!unresolved.isEmpty() && !unresolved.equals("0")) {
                violations.add(
                        new Violation(
                                Promise.ROUTES_RESOLVE, event, unresolved + " unresolved routes"));
            }
        }
        return violations;
    }

    static List<Violation> appliedWhole(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<Long, String> digests = new HashMap<>();
        for (TimelineEvent event : trace.of(EventKind.CONFIG_APPLIED)) {
            String digest = Trace.detail(event, "digest");
            String first = digests.putIfAbsent(event.number("value"), digest);
            if (first != null && !first.equals(digest)) {
                violations.add(
                        new Violation(
                                Promise.APPLIED_WHOLE,
                                event,
                                "content differs from that of other nodes"));
            }
        }
        return violations;
    }

    static List<Violation> inForceSoon(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<Long, TimelineEvent> firstApplied = new HashMap<>();
        for (TimelineEvent event : trace.of(EventKind.CONFIG_APPLIED)) {
            firstApplied.putIfAbsent(event.number("value"), event);
        }
        for (Lifetime life : Lifetime.of(trace)) {
            for (TimelineEvent first : firstApplied.values()) {
                long dueMillis = Trace.millis(first) + IN_FORCE_MILLIS;
                boolean lived =
                        life.mReadyMillis <= Trace.millis(first) && life.mEndMillis >= dueMillis;
                if (lived && life.versionAt(dueMillis) < first.number("value")) {
                    violations.add(
                            new Violation(
                                    Promise.IN_FORCE_SOON,
                                    first,
                                    "not in force at " + life.mProcess + " after 5 s"));
                }
            }
        }
        return violations;
    }

    /** The time for which a process ran with a configuration, and the versions it applied. */
    private static final class Lifetime {
        final String mProcess;
        final List<TimelineEvent> mApplied = new ArrayList<>();
        long mReadyMillis = Long.MAX_VALUE;
        long mEndMillis;

        Lifetime(String process) {
            mProcess = process;
        }

        static List<Lifetime> of(Trace trace) {
            Map<String, Lifetime> lives = new HashMap<>();
            for (TimelineEvent event : trace.events()) {
                Lifetime life = lives.computeIfAbsent(Trace.process(event), Lifetime::new);
                if (Trace.is(event, EventKind.CONFIG_APPLIED)) {
                    life.mReadyMillis = Math.min(life.mReadyMillis, Trace.millis(event));
                    life.mApplied.add(event);
                }
                life.mEndMillis = Trace.millis(event);
            }
            return List.copyOf(lives.values());
        }

        long versionAt(long millis) {
            long version = 0;
            for (TimelineEvent event : mApplied) {
                if (Trace.millis(event) <= millis) {
                    version = Math.max(version, event.number("value"));
                }
            }
            return version;
        }
    }
}
