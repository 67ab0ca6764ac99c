package org.oriolewind.config;

import java.util.Optional;
import java.util.Set;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.time.NodeClock;

/**
 * Brings changes into force by conditional updates of the head object. A lost answer is resolved by
 * reading the head back; of two racing operators one wins. Safe for use by several threads.
 */
public final class ConfigPublisher {
    private static final int MAX_TRIES = 8;
    private static final String PEER = "platform";

    private final ObjectStore mStore;
    private final NodeClock mClock;
    private final NoteArchive mArchive;

    /**
     * Creates a publisher.
     *
     * @param store the platform
     * @param clock the clock that dates accepted notes
     */
    public ConfigPublisher(ObjectStore store, NodeClock clock) {
        mStore = store;
        mClock = clock;
        mArchive = new NoteArchive(store);
    }

    /**
     * Reads the head.
     *
     * @return the head, {@link ConfigHead#NONE} if nothing was published yet
     * @throws PlatformException if the platform can't be reached
     * @throws ConfigException if the stored configuration can't be used
     */
    public ConfigHead readHead() throws PlatformException, ConfigException {
        Optional<StoredObject> stored = mStore.get(ConfigHead.KEY);
        if (stored.isEmpty()) {
            return ConfigHead.NONE;
        }
        return ConfigHead.decode(stored.get(), PEER);
    }

    /**
     * Publishes a note.
     *
     * @param note the note
     * @return the publication, unchanged if the same note is in force already
     * @throws NoteException if the note can't be accepted
     * @throws ConfigException if the stored or the new configuration can't be used
     * @throws PublishException if the note is not known to be in force
     */
    public PublishResult publish(ReleaseNote note)
            throws NoteException, ConfigException, PublishException {
        NoteEdit edit = new NoteEdit(note);
        if (isArchived(note, edit)) {
            return new PublishResult(readHeadAfter(false), false);
        }
        return publish(edit);
    }

    /**
     * Checks a note as {@link #publish(ReleaseNote)} would, and writes nothing.
     *
     * @param note the note
     * @return the head that it was checked against, unchanged if the same note is in force already
     * @throws NoteException if the note can't be accepted
     * @throws ConfigException if the stored or the new configuration can't be used
     * @throws PublishException if the platform can't be reached
     */
    public PublishResult validate(ReleaseNote note)
            throws NoteException, ConfigException, PublishException {
        NoteEdit edit = new NoteEdit(note);
        ConfigHead head = readHeadAfter(false);
        if (isArchived(note, edit)) {
            return new PublishResult(head, false);
        }
        ConfigEntries draft = head.config().edit();
        boolean changed = edit.apply(head.config(), draft, mClock.instant());
        if (changed) {
            draft.build(head.config().version() + 1);
        }
        return new PublishResult(head, changed);
    }

    /**
     * Returns whether a note is known from the archive, and checks that its content is the same.
     */
    private boolean isArchived(ReleaseNote note, NoteEdit edit)
            throws NoteException, ConfigException, PublishException {
        try {
            Optional<ArchivedNote> archived = mArchive.find(note.id());
            if (archived.isPresent()) {
                edit.checkSameContent(archived.get().note().digest());
            }
            return archived.isPresent();
        } catch (PlatformException e) {
            throw unreachable(e);
        }
    }

    /**
     * Publishes any change.
     *
     * @param edit the change
     * @return the publication, unchanged if the change is in force already
     * @throws NoteException if the change can't be made
     * @throws ConfigException if the stored or the new configuration can't be used
     * @throws PublishException if the change is not known to be in force
     */
    public PublishResult publish(ConfigEdit edit)
            throws NoteException, ConfigException, PublishException {
        boolean written = false;
        Set<String> knownNotes = null;
        for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
            ConfigHead head = readHeadAfter(written);
            if (knownNotes != null && !written) {
                checkNoRace(knownNotes, head);
            }
            knownNotes = Set.copyOf(head.config().notes().keySet());
            ConfigEntries draft = head.config().edit();
            if (!edit.apply(head.config(), draft, mClock.instant())) {
                return new PublishResult(head, written);
            }
            try {
                mArchive.trim(draft);
                MeshConfig next = draft.build(head.config().version() + 1);
                byte[] value = ConfigHead.encode(next);
                long version = mStore.put(ConfigHead.KEY, value, head.objectVersion());
                return new PublishResult(new ConfigHead(version, next), true);
            } catch (PlatformException e) {
                if (e.kind() == PlatformException.Kind.CONFLICT) {
                    continue;
                }
                if (!e.kind().mayHaveEffect()) {
                    throw unreachable(e);
                }
                written = true;
            }
        }
        throw new PublishException(
                written
                        ? PublishException.Reason.OUTCOME_UNKNOWN
                        : PublishException.Reason.LOST_RACE,
                PEER,
                "the head changed with every try",
                null);
    }

    private ConfigHead readHeadAfter(boolean written) throws ConfigException, PublishException {
        try {
            return readHead();
        } catch (PlatformException e) {
            if (written) {
                throw new PublishException(
                        PublishException.Reason.OUTCOME_UNKNOWN,
                        PEER,
                        "the answer was lost and the head can't be read back",
                        e);
            }
            throw unreachable(e);
        }
    }

    private static void checkNoRace(Set<String> knownNotes, ConfigHead head)
            throws PublishException {
        for (NoteRecord note : head.config().notes().values()) {
            if (!knownNotes.contains(note.id())) {
                throw new PublishException(
                        PublishException.Reason.LOST_RACE,
                        PEER,
                        "note " + note.id() + " came first with version " + note.version(),
                        null);
            }
        }
    }

    private static PublishException unreachable(PlatformException cause) {
        return new PublishException(
                PublishException.Reason.UNREACHABLE, PEER, "nothing was published", cause);
    }
}
