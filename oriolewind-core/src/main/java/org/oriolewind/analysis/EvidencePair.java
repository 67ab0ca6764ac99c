package org.oriolewind.analysis;

/**
 * Counts of the old and the new version on one route in the same window.
 *
 * @param oldTotals counts of the version that is replaced
 * @param newTotals counts of the version under test
 */
public record EvidencePair(EvidenceTotals oldTotals, EvidenceTotals newTotals) {}
