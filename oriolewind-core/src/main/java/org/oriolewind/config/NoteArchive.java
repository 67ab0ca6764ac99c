package org.oriolewind.config;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;

/**
 * Limits the size of the head: notes whose moves have ended are written to objects of their own
 * before they are removed from the head, so that a note that is published again is still
 * recognized. Thread-safe.
 */
public final class NoteArchive {
    /** Number of notes above which ended ones are removed from the head. */
    static final int MAX_NOTES_IN_HEAD = 64;

    private static final String PREFIX = "notes/";
    private static final String PEER = "platform";

    private final ObjectStore mStore;

    /**
     * Creates an archive.
     *
     * @param store the platform
     */
    public NoteArchive(ObjectStore store) {
        mStore = store;
    }

    /**
     * Finds an archived note.
     *
     * @return the note, empty if it was not archived
     * @throws PlatformException if the platform can't be reached
     * @throws ConfigException if the stored note can't be read
     */
    public Optional<ArchivedNote> find(String id) throws PlatformException, ConfigException {
        Optional<StoredObject> stored = mStore.get(PREFIX + id);
        if (stored.isEmpty() || stored.get().value().isEmpty()) {
            return Optional.empty();
        }
        try {
            byte[] json = stored.get().value().get();
            return Optional.of(JsonFormat.mapper().readValue(json, ArchivedNote.class));
        } catch (IOException e) {
            throw new ConfigException(PEER, "archived note " + id + " cannot be read", e);
        }
    }

    void archiveExcess(ConfigEntries draft) throws PlatformException, ConfigException {
        int excess = draft.notes().size() - MAX_NOTES_IN_HEAD;
        if (excess <= 0) {
            return;
        }
        List<NoteRecord> ended =
                draft.notes().values().stream()
                        .filter(note -> movesOf(draft, note).noneMatch(m -> m.phase().isActive()))
                        .sorted(Comparator.comparing(NoteRecord::version))
                        .limit(excess)
                        .collect(Collectors.toList());
        for (NoteRecord note : ended) {
            List<Move> moves = movesOf(draft, note).toList();
            write(new ArchivedNote(note, moves));
            draft.notes().remove(note.id());
            moves.forEach(move -> draft.moves().remove(move.id()));
        }
    }

    private static java.util.stream.Stream<Move> movesOf(ConfigEntries draft, NoteRecord note) {
        return draft.moves().values().stream().filter(move -> move.note().equals(note.id()));
    }

    private void write(ArchivedNote note) throws PlatformException, ConfigException {
        try {
            byte[] json = JsonFormat.mapper().writeValueAsBytes(note);
            mStore.put(PREFIX + note.note().id(), json, ObjectStore.ABSENT);
        } catch (PlatformException e) {
            // An earlier attempt wrote the same note. Its moves had ended, so the content is equal.
            if (e.kind() != PlatformException.Kind.CONFLICT) {
                throw e;
            }
        } catch (IOException e) {
            throw new ConfigException(PEER, "note cannot be written", e);
        }
    }
}
