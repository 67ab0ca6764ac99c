package org.oriolewind.node.log;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import java.time.Instant;
import org.oriolewind.event.Event;

/**
 * An event as it is written: who recorded it, when and under which configuration. Immutable.
 *
 * @param at wall time of the process
 * @param hybrid hybrid logical time
 * @param node the process's name
 * @param incarnation the process's incarnation
 * @param dataCentre the data centre
 * @param config the configuration version in force
 * @param event the event
 */
public record EventRecord(
        Instant at,
        long hybrid,
        String node,
        long incarnation,
        String dataCentre,
        long config,
        @JsonUnwrapped Event event) {}
