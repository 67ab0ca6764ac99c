package org.oriolewind.analysis;

/**
 * Counts of the old and the new version on one route in the same window. Not thread-safe, as the
 * totals may change.
 *
 * @param oldTotals counts of the version that is being replaced
 * @param newTotals counts of the version under evaluation
 */
public record EvidencePair(EvidenceTotals oldTotals, EvidenceTotals newTotals) {}
