package org.oriolewind.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/** Applies a release note. A note that was applied before changes nothing. Immutable. */
public final class NoteEdit implements ConfigEdit {
    private final ReleaseNote mNote;
    private final String mDigest;

    /** Creates an edit that publishes a note; computes the digest of the note. */
    public NoteEdit(ReleaseNote note) {
        mNote = note;
        mDigest = digestOf(note);
    }

    @Override
    public boolean apply(MeshConfig current, ConfigEntries draft, Instant now)
            throws NoteException {
        Optional<NoteRecord> earlier = Optional.ofNullable(current.notes().get(key()));
        if (earlier.isPresent()) {
            checkSameContent(earlier.get().digest());
            return false;
        }
        NoteApplier.apply(mNote, draft, now);
        long version = current.version() + 1;
        draft.notes().put(key(), new NoteRecord(mNote.id(), mDigest, version, now));
        return true;
    }

    /**
     * Checks that a note published earlier under the same ID has the same content.
     *
     * @param earlierDigest the digest of the earlier note
     * @throws NoteException if the content differs
     */
    void checkSameContent(String earlierDigest) throws NoteException {
        if (!earlierDigest.equals(mDigest)) {
            String problem = mNote.id() + " was published before with other content";
            throw new NoteException(List.of(new NoteFault("id", problem)));
        }
    }

    private String key() {
        return String.valueOf(mNote.id());
    }

    private static String digestOf(ReleaseNote note) {
        try {
            byte[] json = JsonFormat.mapper().writeValueAsBytes(note);
            return HexFormat.of().formatHex(Sha256.newDigest().digest(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("release note cannot be serialized", e);
        }
    }
}
