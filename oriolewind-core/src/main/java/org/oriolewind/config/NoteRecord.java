package org.oriolewind.config;

import java.time.Instant;

/**
 * A note that was accepted. Immutable.
 *
 * @param id the note's id
 * @param digest the digest of the note's content, hexadecimal
 * @param version the configuration version that brought it into force
 * @param at when it was accepted
 */
public record NoteRecord(String id, String digest, long version, Instant at) {}
