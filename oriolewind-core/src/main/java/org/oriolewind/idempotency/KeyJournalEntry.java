package org.oriolewind.idempotency;

/**
 * One line of the journal. Immutable.
 *
 * @param key the digest of the key
 * @param nonce tells the claim from others of the same key
 * @param released whether the line gives the claim back
 */
public record KeyJournalEntry(String key, String nonce, boolean released) {}
