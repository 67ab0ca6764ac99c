package org.oriolewind.policy;

import java.util.Optional;

/** Reads operators' documents. Implementations are stateless. */
public interface PolicyDecoder {
    /**
     * Reads a configuration.
     *
     * @param document the document
     * @return the policy, empty (and logged) if it can't be read
     */
    Optional<TrafficPolicy> policy(OperatorDocument document);

    /**
     * Reads an order for a trial.
     *
     * @param document the document
     * @return the order, empty (and logged) if it can't be read
     */
    Optional<RolloutSpec> trial(OperatorDocument document);
}
