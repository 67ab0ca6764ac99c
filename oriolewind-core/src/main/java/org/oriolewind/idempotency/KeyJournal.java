package org.oriolewind.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oriolewind.error.OperationException;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;

/**
 * The journal of claims: a ring of objects in the platform's store, the segments. Each object is
 * replaced as a whole by conditional writes. A lease holder opens the journal by rewriting the
 * current segment and the next one, which fences off earlier lease holders: none of their writes
 * can succeed afterwards.
 *
 * <p>Not thread-safe; used by one platform task at a time.
 */
final class KeyJournal {
    /** Number of segments in the ring. */
    static final int SEGMENTS = 64;

    /** Maximum number of entries in a segment, which then has about 60 kB. */
    static final int MAX_ENTRIES = 1000;

    /** Minimum time for which a claim is retained. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    private final long mTerm;
    private final Map<Integer, Long> mVersions = new TreeMap<>();
    private final Map<Integer, Instant> mWrittenAt = new TreeMap<>();
    private KeyJournalSegment mCurrent;

    private KeyJournal(long term) {
        mTerm = term;
    }

    /** An opened journal and the nonces of the claims in it, by key digest. */
    record Opened(KeyJournal journal, Map<String, String> nonces) {}

    static Opened open(ObjectStore store, long term, Instant now) throws OperationException {
        KeyJournal journal = new KeyJournal(term);
        TreeMap<Long, KeyJournalSegment> bySequence = new TreeMap<>();
        Map<Integer, byte[]> values = new TreeMap<>();
        for (StoredObject stored : store.list(KeyJournalSegment.PREFIX).objects()) {
            if (stored.value().isPresent()) {
                KeyJournalSegment segment = KeyJournalSegment.decode(stored.value().get());
                int slot = slot(segment.sequence());
                values.put(slot, stored.value().get());
                journal.mVersions.put(slot, stored.version());
                journal.mWrittenAt.put(slot, segment.writtenAt());
                bySequence.put(segment.sequence(), segment);
            }
        }
        Map<String, String> nonces = new TreeMap<>();
        bySequence.values().forEach(segment -> replay(segment.entries(), nonces));
        long sequence = bySequence.isEmpty() ? 0 : bySequence.lastKey();
        List<KeyJournalEntry> entries =
                bySequence.isEmpty() ? List.of() : bySequence.get(sequence).entries();
        journal.writeFence(store, sequence + 1, values);
        journal.write(store, new KeyJournalSegment(sequence, term, now, entries));
        return new Opened(journal, nonces);
    }

    private static void replay(List<KeyJournalEntry> entries, Map<String, String> nonces) {
        for (KeyJournalEntry entry : entries) {
            if (entry.released()) {
                nonces.remove(entry.key(), entry.nonce());
            } else {
                nonces.put(entry.key(), entry.nonce());
            }
        }
    }

    private static int slot(long sequence) {
        return (int) Math.floorMod(sequence, (long) SEGMENTS);
    }

    private static String objectKey(int slot) {
        return String.format("%s%02d", KeyJournalSegment.PREFIX, slot);
    }

    /**
     * Rewrites the slot after the current one with unchanged content, so that a write of an earlier
     * lease holder to the next segment fails.
     */
    private void writeFence(ObjectStore store, long sequence, Map<Integer, byte[]> values)
            throws PlatformException {
        int slot = slot(sequence);
        byte[] value = values.get(slot);
        if (value == null) {
            mWrittenAt.put(slot, Instant.EPOCH);
            value =
                    new KeyJournalSegment(sequence - SEGMENTS, mTerm, Instant.EPOCH, List.of())
                            .encode();
        }
        long expected = mVersions.getOrDefault(slot, ObjectStore.ABSENT);
        mVersions.put(slot, store.put(objectKey(slot), value, expected));
    }

    private void write(ObjectStore store, KeyJournalSegment segment) throws PlatformException {
        int slot = slot(segment.sequence());
        long expected = mVersions.getOrDefault(slot, ObjectStore.ABSENT);
        mVersions.put(slot, store.put(objectKey(slot), segment.encode(), expected));
        mWrittenAt.put(slot, segment.writtenAt());
        mCurrent = segment;
    }

    /**
     * Returns how many entries can be added now without overwriting keys within their retention
     * time.
     */
    int remainingEntries(Instant now) {
        int left = MAX_ENTRIES - mCurrent.entries().size();
        Instant next = mWrittenAt.getOrDefault(slot(mCurrent.sequence() + 1), Instant.EPOCH);
        boolean nextIsExpired = !now.isBefore(next.plus(RETENTION));
        return nextIsExpired ? left + MAX_ENTRIES : left;
    }

    /** Appends entries. They are stored if this method returns normally. */
    void append(ObjectStore store, List<KeyJournalEntry> entries, Instant now)
            throws PlatformException {
        int left = MAX_ENTRIES - mCurrent.entries().size();
        int first = Math.min(left, entries.size());
        if (first > 0) {
            List<KeyJournalEntry> all = new ArrayList<>(mCurrent.entries());
            all.addAll(entries.subList(0, first));
            write(store, new KeyJournalSegment(mCurrent.sequence(), mTerm, now, all));
        }
        if (first < entries.size()) {
            List<KeyJournalEntry> rest = entries.subList(first, entries.size());
            write(store, new KeyJournalSegment(mCurrent.sequence() + 1, mTerm, now, rest));
        }
    }
}
