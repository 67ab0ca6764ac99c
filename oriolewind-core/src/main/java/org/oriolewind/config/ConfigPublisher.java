package org.oriolewind.config;

import java.util.Optional;
import java.util.Set;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.time.NodeClock;

/**
 * Publishes changes by conditional writes of the head object. After a lost response the head is
 * read back. If another note is published at the same time, the change fails, so that its operator
 * can reconsider it; after other concurrent changes it is retried. Thread-safe.
 */
public final class ConfigPublisher {
    private static final int MAX_ATTEMPTS = 8;
    private static final String PEER = "platform";

    private final ObjectStore mStore;
    private final NodeClock mClock;
    private final NoteArchive mArchive;

    /**
     * Creates a publisher.
     *
     * @param store the platform
     * @param clock the clock for the time at which notes are accepted
     */
    public ConfigPublisher(ObjectStore store, NodeClock clock) {
        mStore = store;
        mClock = clock;
        mArchive = new NoteArchive(store);
    }

    /**
     * Reads the head object from the platform.
     *
     * @return the head, {@link ConfigHead#NONE} if nothing was published yet
     * @throws PlatformException if the platform can't be reached
     * @throws ConfigException if the stored configuration is not valid
     */
    public ConfigHead readHead() throws PlatformException, ConfigException {
        Optional<StoredObject> stored = mStore.get(ConfigHead.KEY);
        if (stored.isEmpty()) {
            return ConfigHead.NONE;
        }
        return ConfigHead.decode(stored.get(), PEER);
    }

    /**
     * Publishes a release note.
     *
     * @return the result, unchanged if the same note was published before
     * @throws NoteException if the note is not valid
     * @throws ConfigException if the stored or the new configuration is not valid
     * @throws PublishException if the note was not published, or it is not certain whether it was
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
     * Validates a release note like {@link #publish(ReleaseNote)}, but writes nothing.
     *
     * @return the head that the note was checked against, unchanged if the same note was published
     *     before
     * @throws NoteException if the note is not valid
     * @throws ConfigException if the stored or the new configuration is not valid
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

    /** Returns whether a note is in the archive; fails if the archived note has other content. */
    private boolean isArchived(ReleaseNote note, NoteEdit edit)
            throws NoteException, ConfigException, PublishException {
        try {
            Optional<ArchivedNote> archived = mArchive.find(note.id());
            if (archived.isPresent()) {
                edit.checkSameContent(archived.get().note().digest());
            }
            return archived.isPresent();
        } catch (PlatformException e) {
            throw notPublished(e);
        }
    }

    /**
     * Publishes a change. After a conflict it is retried on the newer configuration, unless that
     * contains another new note.
     *
     * @return the result, unchanged if the change is already in force
     * @throws NoteException if the change is not valid
     * @throws ConfigException if the stored or the new configuration is not valid
     * @throws PublishException if the change was not published, or it is not certain whether it was
     */
    public PublishResult publish(ConfigEdit edit)
            throws NoteException, ConfigException, PublishException {
        boolean maybeWritten = false;
        Set<String> knownNotes = null;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ConfigHead head = readHeadAfter(maybeWritten);
            if (knownNotes != null && !maybeWritten) {
                checkNoRace(knownNotes, head);
            }
            knownNotes = Set.copyOf(head.config().notes().keySet());
            ConfigEntries draft = head.config().edit();
            if (!edit.apply(head.config(), draft, mClock.instant())) {
                return new PublishResult(head, maybeWritten);
            }
            try {
                mArchive.archiveExcess(draft);
                MeshConfig next = draft.build(head.config().version() + 1);
                byte[] value = ConfigHead.encode(next);
                long version = mStore.put(ConfigHead.KEY, value, head.objectVersion());
                return new PublishResult(new ConfigHead(version, next), true);
            } catch (PlatformException e) {
                if (e.kind() == PlatformException.Kind.CONFLICT) {
                    continue;
                }
                if (!e.kind().mayHaveEffect()) {
                    throw notPublished(e);
                }
                maybeWritten = true;
            }
        }
        throw new PublishException(
                maybeWritten
                        ? PublishException.Reason.OUTCOME_UNKNOWN
                        : PublishException.Reason.LOST_RACE,
                PEER,
                "the configuration was changed by others at every attempt",
                null);
    }

    private ConfigHead readHeadAfter(boolean maybeWritten)
            throws ConfigException, PublishException {
        try {
            return readHead();
        } catch (PlatformException e) {
            if (maybeWritten) {
                throw new PublishException(
                        PublishException.Reason.OUTCOME_UNKNOWN,
                        PEER,
                        "the response was lost and the configuration cannot be read back",
                        e);
            }
            throw notPublished(e);
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

    private static PublishException notPublished(PlatformException cause) {
        return new PublishException(
                PublishException.Reason.UNREACHABLE, PEER, "nothing was published", cause);
    }
}
