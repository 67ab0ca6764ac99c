package org.oriolewind.cli.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.event.EventKind;
import org.oriolewind.time.HybridClock;

/** The events of all processes in one order. Immutable. */
public final class Trace {
    private final List<TimelineEvent> mEvents;

    /**
     * Creates a trace.
     *
     * @param events the events in their order
     */
    public Trace(List<TimelineEvent> events) {
        mEvents = List.copyOf(events);
    }

    List<TimelineEvent> events() {
        return mEvents;
    }

    List<TimelineEvent> of(EventKind kind) {
        return mEvents.stream().filter(event -> is(event, kind)).toList();
    }

    List<TimelineEvent> where(Predicate<TimelineEvent> wanted) {
        return mEvents.stream().filter(wanted).toList();
    }

    static boolean is(TimelineEvent event, EventKind kind) {
        return event.text("kind").equals(kind.name());
    }

    /** Returns wall time in milliseconds, with the counter of the hybrid time left out. */
    static long millis(TimelineEvent event) {
        return HybridClock.wallMillis(event.hybrid());
    }

    /** Returns a process: a node's name and incarnation. */
    static String process(TimelineEvent event) {
        return event.node() + "/" + event.number("incarnation");
    }

    /** Returns the events of each call, in order. */
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

    /** Returns whether an event is the end of a call towards its caller. */
    static boolean isEnd(TimelineEvent event) {
        boolean atCaller = event.text("peer").isEmpty();
        return atCaller
                && (is(event, EventKind.CALL_ANSWERED)
                        || is(event, EventKind.CALL_REFUSED)
                        || is(event, EventKind.CALL_UNKNOWN));
    }

    /** Returns the hand-overs of a call that the backend server did not refuse as not run. */
    static List<TimelineEvent> runs(List<TimelineEvent> call) {
        List<TimelineEvent> runs = new ArrayList<>();
        for (TimelineEvent event : call) {
            if (is(event, EventKind.CALL_HANDED_OVER)) {
                runs.add(event);
            } else if (is(event, EventKind.CALL_REFUSED) && !event.text("peer").isEmpty()) {
                removeLast(runs, event.node());
            }
        }
        return runs;
    }

    private static void removeLast(List<TimelineEvent> runs, String node) {
        for (int i = runs.size() - 1; i >= 0; i--) {
            if (runs.get(i).node().equals(node)) {
                runs.remove(i);
                return;
            }
        }
    }

    /** Returns a part of an event's detail of the form {@code name=value}. */
    static String detail(TimelineEvent event, String name) {
        for (String part : event.text("detail").split(" ")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return "";
    }
}
