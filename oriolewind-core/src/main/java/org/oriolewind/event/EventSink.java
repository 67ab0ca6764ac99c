package org.oriolewind.event;

/** Receives the events of one process. Implementations never block and are thread-safe. */
@FunctionalInterface
public interface EventSink {
    /** Records an event. May be called on any thread; an event may be dropped rather than block. */
    void record(Event event);
}
