package org.oriolewind.event;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An event without the name and time that the process adds when it writes the event. Immutable.
 * Unused fields are null and omitted from the JSON.
 *
 * @param kind the kind of the event
 * @param call the call's ID
 * @param service the service's name
 * @param serviceVersion the backend server version
 * @param route the route's name
 * @param note the note's ID
 * @param peer the other node, lease or address involved
 * @param value a number whose meaning depends on the kind: a status, a share in basis points, a
 *     version
 * @param detail the cause or evidence, for a person
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Event(
        EventKind kind,
        String call,
        String service,
        String serviceVersion,
        String route,
        String note,
        String peer,
        Long value,
        String detail) {
    /**
     * Creates an event about the process itself.
     *
     * @param peer the other node, lease or address involved, or null
     * @param value the number that the kind requires
     * @param detail the cause, for a person
     */
    public static Event of(EventKind kind, String peer, long value, String detail) {
        return new Event(kind, null, null, null, null, null, peer, value, detail);
    }

    /**
     * Creates an event about a call.
     *
     * @param call the call's ID
     * @param service the service's name
     * @param serviceVersion the backend server version, or null if none was chosen
     * @param route the route's name
     * @param peer the other node involved, or null
     * @param value the status or another number that the kind requires
     * @param detail the cause, or null
     */
    public static Event ofCall(
            EventKind kind,
            String call,
            String service,
            String serviceVersion,
            String route,
            String peer,
            long value,
            String detail) {
        return new Event(kind, call, service, serviceVersion, route, null, peer, value, detail);
    }

    /**
     * Creates an event about a move of a release note.
     *
     * @param note the note's ID
     * @param service the service's name
     * @param serviceVersion the new version
     * @param shareBps the share in basis points
     * @param detail the evidence, for a person
     */
    public static Event ofMove(
            EventKind kind,
            String note,
            String service,
            String serviceVersion,
            long shareBps,
            String detail) {
        return new Event(kind, null, service, serviceVersion, null, note, null, shareBps, detail);
    }
}
