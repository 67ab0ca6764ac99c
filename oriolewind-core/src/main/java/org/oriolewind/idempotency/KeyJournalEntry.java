package org.oriolewind.idempotency;

/**
 * An entry of the key journal. Immutable.
 *
 * @param key the digest of the key
 * @param nonce identifies the claim among all claims of the same key
 * @param released whether the entry releases the claim instead of making it
 */
public record KeyJournalEntry(String key, String nonce, boolean released) {}
