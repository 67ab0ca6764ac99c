package org.oriolewind.config;

import java.util.List;

/**
 * A release note that was removed from the head, with its ended moves. Immutable.
 *
 * @param note the note
 * @param moves the moves of the note, all in a final phase
 */
public record ArchivedNote(NoteRecord note, List<Move> moves) {}
