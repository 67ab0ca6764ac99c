package org.oriolewind.cli.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.event.EventKind;

/** Checks the events of each call on their own, and of each process at its stop. Stateless. */
final class CallChecks {
    private CallChecks() {}

    static List<Violation> checkAnswers(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (List<TimelineEvent> call : trace.byCall().values()) {
            List<TimelineEvent> ends = call.stream().filter(Trace::endsCall).toList();
            if (ends.size() > 1) {
                violations.add(
                        new Violation(Invariant.OWN_ANSWER, ends.get(1), "call ended twice"));
            }
            boolean forwarded =
                    call.stream().anyMatch(e -> Trace.isKind(e, EventKind.CALL_HANDED_OVER));
            for (TimelineEvent end : ends) {
                if (Trace.isKind(end, EventKind.CALL_ANSWERED) && !forwarded) {
                    violations.add(
                            new Violation(
                                    Invariant.OWN_ANSWER,
                                    end,
                                    "answer to a call never handed over"));
                }
            }
        }
        return violations;
    }

    static List<Violation> checkRefusals(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (List<TimelineEvent> call : trace.byCall().values()) {
            for (TimelineEvent end : call) {
                boolean refusal = Trace.endsCall(end) && Trace.isKind(end, EventKind.CALL_REFUSED);
                if (refusal && !isIdempotent(call) && !Trace.executions(call).isEmpty()) {
                    violations.add(
                            new Violation(
                                    Invariant.REFUSAL_TRUE, end, "refused as not run, but it ran"));
                }
            }
        }
        return violations;
    }

    static List<Violation> checkAtMostOnce(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        for (List<TimelineEvent> call : trace.byCall().values()) {
            List<TimelineEvent> executions = Trace.executions(call);
            if (!isIdempotent(call) && executions.size() > 1) {
                violations.add(
                        new Violation(
                                Invariant.AT_MOST_ONCE,
                                executions.get(1),
                                "handed over " + executions.size() + " times"));
            }
        }
        return violations;
    }

    private static boolean isIdempotent(List<TimelineEvent> call) {
        return call.stream()
                .anyMatch(
                        event ->
                                Trace.isKind(event, EventKind.CALL_BEGUN)
                                        && event.text("detail").equals("idempotent"));
    }

    static List<Violation> checkShutdown(Trace trace) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Map<String, TimelineEvent>> openCalls = new HashMap<>();
        for (TimelineEvent event : trace.events()) {
            Map<String, TimelineEvent> calls =
                    openCalls.computeIfAbsent(Trace.process(event), p -> new HashMap<>());
            if (Trace.isKind(event, EventKind.CALL_BEGUN)) {
                calls.put(event.text("call"), event);
            } else if (Trace.endsCall(event)) {
                calls.remove(event.text("call"));
            } else if (Trace.isKind(event, EventKind.NODE_STOPPED)) {
                for (TimelineEvent openCall : calls.values()) {
                    violations.add(
                            new Violation(
                                    Invariant.SHUTDOWN_CUTS_NONE,
                                    openCall,
                                    "call was open when " + event.node() + " stopped"));
                }
            }
        }
        return violations;
    }
}
