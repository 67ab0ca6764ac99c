package org.oriolewind.config;

import java.util.List;

/**
 * A note that left the head, with the ends of its moves. Immutable.
 *
 * @param note the note
 * @param moves its moves, all ended
 */
public record ArchivedNote(NoteRecord note, List<Move> moves) {}
