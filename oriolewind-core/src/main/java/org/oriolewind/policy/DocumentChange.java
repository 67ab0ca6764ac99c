package org.oriolewind.policy;

/**
 * A change of one operators' document in the store. Immutable.
 *
 * @param document the document after the change; if it was deleted, as it was before
 * @param deleted whether the document was deleted
 */
public record DocumentChange(OperatorDocument document, boolean deleted) {}
