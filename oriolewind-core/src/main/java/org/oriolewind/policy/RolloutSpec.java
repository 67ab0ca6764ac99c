package org.oriolewind.policy;

import java.util.Optional;

/**
 * An operator's order to roll out another version of a service. Immutable.
 *
 * @param service the service's name
 * @param targetVersion the version that takes all traffic in the end
 * @param durationMillis time for the whole rollout, counted from the order
 * @param orderId identifies the order; a later order for the same service has another ID
 * @param revision the document's store revision; a decision is written only if it is unchanged
 * @param phase the phase stored for this target version, empty if none is stored
 */
public record RolloutSpec(
        String service,
        String targetVersion,
        long durationMillis,
        long orderId,
        long revision,
        Optional<RolloutPhase> phase) {
    /**
     * Returns whether two specifications belong to the same order. Their phases may differ.
     *
     * @param other the specification in another document or revision
     */
    public boolean isSameOrder(RolloutSpec other) {
        return service.equals(other.service)
                && targetVersion.equals(other.targetVersion)
                && orderId == other.orderId;
    }
}
