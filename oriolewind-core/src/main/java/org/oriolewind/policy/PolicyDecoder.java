package org.oriolewind.policy;

import java.util.Optional;

/** Decodes the operators' documents. Implementations are stateless. */
public interface PolicyDecoder {
    /**
     * Decodes a configuration document.
     *
     * @param document a document of kind {@link DocumentKind#CONFIG}
     * @return the policy, or empty if the document is invalid, which is logged
     */
    Optional<TrafficPolicy> policy(OperatorDocument document);

    /**
     * Decodes a rollout document.
     *
     * @param document a document of kind {@link DocumentKind#ROLLOUT}
     * @return the rollout, or empty if the document is invalid, which is logged
     */
    Optional<RolloutSpec> rollout(OperatorDocument document);
}
