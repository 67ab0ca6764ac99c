package org.oriolewind.node.log;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import java.time.Instant;
import org.oriolewind.event.Event;

/**
 * An event with its context, as written to the event log. The JSON keys are the names of the
 * components; those of the event are on the same level. Immutable.
 *
 * @param at wall clock time of the process
 * @param hybrid timestamp of the hybrid logical clock, which orders events of several nodes
 * @param node name of the node that recorded the event
 * @param incarnation incarnation of that node
 * @param dataCentre data centre of that node
 * @param config configuration version in force, 0 if none
 * @param event what happened, with the call, service or release note concerned
 */
public record EventRecord(
        Instant at,
        long hybrid,
        String node,
        long incarnation,
        String dataCentre,
        long config,
        @JsonUnwrapped Event event) {}
