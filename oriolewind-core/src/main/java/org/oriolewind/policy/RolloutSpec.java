package org.oriolewind.policy;

import java.util.Optional;

/**
 * An operator's order to move a service's traffic to a version. Immutable.
 *
 * @param service the service's name
 * @param targetVersion the version that shall take over
 * @param durationMillis time for the move, from the order
 * @param orderId identifies the order; a later one for the same service has another id
 * @param revision revision of the document, on which a decision is conditional
 * @param phase the phase written for this target version, empty if none
 */
public record RolloutSpec(
        String service,
        String targetVersion,
        long durationMillis,
        long orderId,
        long revision,
        Optional<RolloutPhase> phase) {
    /**
     * Returns whether another document tells of the same order, perhaps with another phase.
     *
     * @param other the other document's content
     * @return true if it is the same order
     */
    public boolean isSame(RolloutSpec other) {
        return service.equals(other.service)
                && targetVersion.equals(other.targetVersion)
                && orderId == other.orderId;
    }
}
