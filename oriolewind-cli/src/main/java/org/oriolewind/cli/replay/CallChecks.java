package org.oriolewind.cli.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.event.EventKind;

/** Checks of single calls. Stateless. */
final class CallChecks {
    private CallChecks() {}

    static List<Violation> ownAnswer(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (List<TimelineEvent> call : trace.byCall().values()) {
            List<TimelineEvent> ends = call.stream().filter(Trace::isEnd).toList();
            if (ends.size() > 1) {
                violations.add(new Violation(Promise.OWN_ANSWER, ends.get(1), "call ended twice"));
            }
            boolean handedOver =
                    call.stream().anyMatch(e -> Trace.is(e, EventKind.CALL_HANDED_OVER));
            for (TimelineEvent end : ends) {
                if (Trace.is(end, EventKind.CALL_ANSWERED) && !handedOver) {
                    violations.add(
                            new Violation(
                                    Promise.OWN_ANSWER, end, "answer to a call never handed over"));
                }
            }
        }
        return violations;
    }

    static List<Violation> refusalTrue(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (List<TimelineEvent> call : trace.byCall().values()) {
            for (TimelineEvent end : call) {
                boolean refusal = Trace.isEnd(end) && Trace.is(end, EventKind.CALL_REFUSED);
                if (refusal && !isIdempotent(call) && !Trace.runs(call).isEmpty()) {
                    violations.add(
                            new Violation(
                                    Promise.REFUSAL_TRUE, end, "refused as not run, but it ran"));
                }
            }
        }
        return violations;
    }

    static List<Violation> atMostOnce(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (List<TimelineEvent> call : trace.byCall().values()) {
            List<TimelineEvent> runs = Trace.runs(call);
            if (!isIdempotent(call) && runs.size() > 1) {
                violations.add(
                        new Violation(
                                Promise.AT_MOST_ONCE,
                                runs.get(1),
                                "handed over " + runs.size() + " times"));
            }
        }
        return violations;
    }

    private static boolean isIdempotent(List<TimelineEvent> call) {
        return call.stream()
                .anyMatch(
                        event ->
                                Trace.is(event, EventKind.CALL_BEGUN)
                                        && event.text("detail").equals("idempotent"));
    }

    static List<Violation> shutdownCutsNone(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Map<String, TimelineEvent>> open = new HashMap<>();
        for (TimelineEvent event : trace.events()) {
            Map<String, TimelineEvent> calls =
                    open.computeIfAbsent(Trace.process(event), p -> new HashMap<>());
            if (Trace.is(event, EventKind.CALL_BEGUN)) {
                calls.put(event.text("call"), event);
            } else if (Trace.isEnd(event)) {
                calls.remove(event.text("call"));
            } else if (Trace.is(event, EventKind.NODE_STOPPED)) {
                for (TimelineEvent cut : calls.values()) {
                    violations.add(
                            new Violation(
                                    Promise.SHUTDOWN_CUTS_NONE,
                                    cut,
                                    "call was open when " + event.node() + " stopped"));
                }
            }
        }
        return violations;
    }
}
