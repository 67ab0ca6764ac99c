package org.oriolewind.cli.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.event.EventKind;
import org.oriolewind.time.HybridClock;

/** The recorded events of all processes, ordered by hybrid time. Immutable. */
public final class Trace {
    private final List<TimelineEvent> mEvents;

    /**
     * Creates a trace with a copy of the list.
     *
     * @param events the events, ordered by hybrid time
     */
    public Trace(List<TimelineEvent> events) {
        mEvents = List.copyOf(events);
    }

    List<TimelineEvent> events() {
        return mEvents;
    }

    List<TimelineEvent> ofKind(EventKind kind) {
        return mEvents.stream().filter(event -> isKind(event, kind)).toList();
    }

    List<TimelineEvent> matching(Predicate<TimelineEvent> filter) {
        return mEvents.stream().filter(filter).toList();
    }

    static boolean isKind(TimelineEvent event, EventKind kind) {
        return event.text("kind").equals(kind.name());
    }

    /** Returns the wall clock part of the hybrid time, in milliseconds since the epoch. */
    static long wallMillis(TimelineEvent event) {
        return HybridClock.wallMillis(event.hybrid());
    }

    /** Returns the key of the process that wrote an event: node name and incarnation. */
    static String process(TimelineEvent event) {
        return event.node() + "/" + event.number("incarnation");
    }

    /**
     * Groups events by call id, without the events that belong to no call. Calls and their events
     * are in trace order.
     */
    Map<String, List<TimelineEvent>> byCall() {
        Map<String, List<TimelineEvent>> calls = new LinkedHashMap<>();
        for (TimelineEvent event : mEvents) {
            String call = event.text("call");
            if (!call.isEmpty()) {
                calls.computeIfAbsent(call, c -> new ArrayList<>()).add(event);
            }
        }
        return calls;
    }

    /**
     * Returns whether an event ends a call at the node that received it from the caller. Such an
     * event names no peer.
     */
    static boolean endsCall(TimelineEvent event) {
        boolean atCaller = event.text("peer").isEmpty();
        return atCaller
                && (isKind(event, EventKind.CALL_ANSWERED)
                        || isKind(event, EventKind.CALL_REFUSED)
                        || isKind(event, EventKind.CALL_UNKNOWN));
    }

    /**
     * Returns the events with which a call was forwarded to a backend server, without those that
     * the node of that backend server then refused as not run.
     */
    static List<TimelineEvent> executions(List<TimelineEvent> call) {
        List<TimelineEvent> executions = new ArrayList<>();
        for (TimelineEvent event : call) {
            if (isKind(event, EventKind.CALL_HANDED_OVER)) {
                executions.add(event);
            } else if (isKind(event, EventKind.CALL_REFUSED) && !event.text("peer").isEmpty()) {
                removeLast(executions, event.node());
            }
        }
        return executions;
    }

    private static void removeLast(List<TimelineEvent> executions, String node) {
        for (int i = executions.size() - 1; i >= 0; i--) {
            if (executions.get(i).node().equals(node)) {
                executions.remove(i);
                return;
            }
        }
    }

    /**
     * Returns the value of a {@code name=value} field in an event's detail, empty if there is no
     * such field.
     */
    static String detailValue(TimelineEvent event, String name) {
        for (String field : event.text("detail").split(" ")) {
            if (field.startsWith(name + "=")) {
                return field.substring(name.length() + 1);
            }
        }
        return "";
    }
}
