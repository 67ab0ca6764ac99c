package org.oriolewind.event;

/** Takes events of one process. Implementations never block and are safe for several threads. */
@FunctionalInterface
public interface EventSink {
    /**
     * Records an event.
     *
     * @param event the event
     */
    void record(Event event);
}
