package org.oriolewind.config;

import java.time.Instant;

/**
 * A published release note. Immutable.
 *
 * @param id the note's ID
 * @param digest SHA-256 of the note's JSON, in hexadecimal
 * @param version the configuration version that first contains the note
 * @param at when the note was accepted
 */
public record NoteRecord(String id, String digest, long version, Instant at) {}
