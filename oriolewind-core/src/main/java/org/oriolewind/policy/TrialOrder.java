package org.oriolewind.policy;

import java.util.Optional;

/**
 * An operator's order to move a service's traffic to a version. Immutable.
 *
 * @param service the service's name
 * @param targetVersion the version that shall take over
 * @param durationMillis time for the move, from the order
 * @param createdMillis wall time of the order, 0 if not said
 * @param revision revision of the document, on which a decision is conditional
 * @param phase the phase written for this target version, empty if none
 */
public record TrialOrder(
        String service,
        String targetVersion,
        long durationMillis,
        long createdMillis,
        long revision,
        Optional<TrialPhase> phase) {}
