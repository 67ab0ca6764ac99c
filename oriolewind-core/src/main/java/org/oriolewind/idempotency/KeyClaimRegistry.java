package org.oriolewind.idempotency;

import com.google.protobuf.ByteString;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.KeyOperation;
import org.oriolewind.wire.NotRunReason;

/**
 * Grants the claims of idempotency keys for the whole mesh while this node holds the rollout lease.
 * Claims are batched into one write of the journal at a time, and a claim is granted after it is
 * written. Operations that can't be completed are answered as not run.
 *
 * <p>Invariant: of the claims of one key, at most one is granted and not released. Confined to the
 * control thread.
 */
public final class KeyClaimRegistry {
    /** Maximum number of entries that wait for a write. Further operations are refused. */
    private static final int MAX_PENDING = 2000;

    /** Maximum number of stored answers; the oldest is evicted. */
    private static final int MAX_STORED_ANSWERS = 500;

    /** Largest body of a stored answer, in bytes. */
    private static final int MAX_ANSWER_BYTES = 8192;

    /** Status of an answer that confirms the operation. */
    private static final int CREATED = 201;

    /** Status of an answer to a claim of a key that is already claimed. */
    private static final int CONFLICT = 409;

    private final PlatformExecutor mPlatformExecutor;
    private final NodeClock mClock;
    private final Map<String, String> mClaimNonces = new HashMap<>();
    private final Map<String, CallAnswer> mStoredAnswers =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, CallAnswer> eldest) {
                    return size() > MAX_STORED_ANSWERS;
                }
            };
    private final List<PendingEntry> mPending = new ArrayList<>();
    private Optional<KeyJournal> mJournal = Optional.empty();
    private long mTerm = -1;
    private boolean mStoreCallOpen;

    /**
     * Creates a registry that does not hold the lease.
     *
     * @param platformExecutor runs journal operations on the platform's store
     * @param clock dates journal segments
     */
    public KeyClaimRegistry(PlatformExecutor platformExecutor, NodeClock clock) {
        mPlatformExecutor = platformExecutor;
        mClock = clock;
    }

    /** A journal entry to be written, and the consumer of the answer. */
    private record PendingEntry(KeyJournalEntry entry, Consumer<CallAnswer> done) {}

    /**
     * Opens or closes the journal as the lease changes, and starts the next write. Called
     * periodically on the control thread.
     *
     * @param leaseHeld whether this node holds the rollout lease
     * @param term the lease's term, which identifies the lease holder
     */
    public void tick(boolean leaseHeld, long term) {
        if (!leaseHeld) {
            closeJournal();
            return;
        }
        if (mStoreCallOpen) {
            return;
        }
        if (mJournal.isEmpty() || mTerm != term) {
            openJournal(term);
        } else if (!mPending.isEmpty()) {
            append(mJournal.get());
        }
    }

    private void closeJournal() {
        mJournal = Optional.empty();
        mClaimNonces.clear();
        mStoredAnswers.clear();
        if (!mStoreCallOpen) {
            refuseAll(mPending);
        }
    }

    private void openJournal(long term) {
        // The pending entries were checked against claims that are about to be reloaded.
        mJournal = Optional.empty();
        refuseAll(mPending);
        mStoreCallOpen = true;
        Instant now = mClock.instant();
        mPlatformExecutor.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> KeyJournal.open(store, term, now),
                result -> onOpened(term, result));
    }

    private void onOpened(long term, PlatformResult<KeyJournal.Opened> result) {
        mStoreCallOpen = false;
        if (!result.isOk()) {
            return;
        }
        mTerm = term;
        mClaimNonces.clear();
        mClaimNonces.putAll(result.value().nonces());
        mJournal = Optional.of(result.value().journal());
    }

    private void append(KeyJournal journal) {
        Instant now = mClock.instant();
        int count = Math.min(journal.remainingEntries(now), mPending.size());
        List<PendingEntry> batch = new ArrayList<>(mPending.subList(0, count));
        mPending.subList(0, count).clear();
        if (batch.isEmpty()) {
            refuseAll(mPending);
            return;
        }
        mStoreCallOpen = true;
        List<KeyJournalEntry> entries = batch.stream().map(PendingEntry::entry).toList();
        mPlatformExecutor.<Boolean>submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> {
                    journal.append(store, entries, now);
                    return true;
                },
                result -> onAppended(batch, result));
    }

    private void onAppended(List<PendingEntry> batch, PlatformResult<Boolean> result) {
        mStoreCallOpen = false;
        if (result.isOk()) {
            batch.forEach(pending -> pending.done().accept(answer(CREATED)));
            return;
        }
        // Entries may have been written in spite of the error, so the journal is reloaded before
        // the next write.
        mJournal = Optional.empty();
        refuseAll(batch);
    }

    private void refuseAll(List<PendingEntry> pending) {
        List<PendingEntry> refused = new ArrayList<>(pending);
        pending.clear();
        for (PendingEntry refusedEntry : refused) {
            if (!refusedEntry.entry().released()) {
                mClaimNonces.remove(refusedEntry.entry().key(), refusedEntry.entry().nonce());
            }
            refusedEntry.done().accept(keyOperationNotRun());
        }
    }

    /**
     * Handles a key operation. While the journal is not open, all operations are answered as not
     * run.
     *
     * @param request a call request that carries a key operation
     * @param done called once with the answer, on the control thread
     */
    public void onRequest(CallRequest request, Consumer<CallAnswer> done) {
        if (mJournal.isEmpty() || mPending.size() >= MAX_PENDING) {
            done.accept(keyOperationNotRun());
            return;
        }
        switch (request.getKeyOperation()) {
            case KEY_OPERATION_CLAIM -> claim(request, done);
            case KEY_OPERATION_RELEASE -> release(request, done);
            case KEY_OPERATION_DONE -> storeAnswer(request, done);
            default -> done.accept(keyOperationNotRun());
        }
    }

    private void claim(CallRequest request, Consumer<CallAnswer> done) {
        String key = request.getIdempotencyKey();
        if (mClaimNonces.containsKey(key)) {
            done.accept(mStoredAnswers.getOrDefault(key, answer(CONFLICT)));
            return;
        }
        mClaimNonces.put(key, request.getCallId());
        mPending.add(new PendingEntry(new KeyJournalEntry(key, request.getCallId(), false), done));
    }

    private void release(CallRequest request, Consumer<CallAnswer> done) {
        String key = request.getIdempotencyKey();
        if (mClaimNonces.remove(key, request.getCallId())) {
            mPending.add(
                    new PendingEntry(new KeyJournalEntry(key, request.getCallId(), true), done));
        } else {
            done.accept(answer(CREATED));
        }
    }

    private void storeAnswer(CallRequest request, Consumer<CallAnswer> done) {
        String key = request.getIdempotencyKey();
        boolean ownClaim = request.getCallId().equals(mClaimNonces.get(key));
        if (ownClaim && isStorable(request.getBody())) {
            mStoredAnswers.put(
                    key,
                    CallAnswer.newBuilder()
                            .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                            .setStatus(request.getHops())
                            .addAllHeaders(request.getHeadersList())
                            .setBody(request.getBody())
                            .build());
        }
        done.accept(answer(CREATED));
    }

    private static CallAnswer answer(int status) {
        return CallAnswer.newBuilder()
                .setOutcome(CallOutcome.CALL_OUTCOME_UNKNOWN)
                .setStatus(status)
                .build();
    }

    private static CallAnswer keyOperationNotRun() {
        return CallAnswer.newBuilder()
                .setOutcome(CallOutcome.CALL_OUTCOME_NOT_RUN)
                .setNotRunReason(NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED)
                .build();
    }

    /**
     * Returns whether an answer is small enough to be stored for later calls with the same key.
     *
     * @param answer the answer of a call
     */
    public static boolean isStorable(CallAnswer answer) {
        return isStorable(answer.getBody());
    }

    private static boolean isStorable(ByteString body) {
        return body.size() <= MAX_ANSWER_BYTES;
    }

    /**
     * Creates the request that stores the answer of a call. The status is sent in the field for
     * hops.
     *
     * @param key the digest of the key
     * @param nonce the nonce of the granted claim
     * @param answer the answer of the call
     */
    public static CallRequest doneRequest(String key, String nonce, CallAnswer answer) {
        return CallRequest.newBuilder()
                .setKeyOperation(KeyOperation.KEY_OPERATION_DONE)
                .setIdempotencyKey(key)
                .setCallId(nonce)
                .setHops(answer.getStatus())
                .addAllHeaders(answer.getHeadersList())
                .setBody(answer.getBody())
                .build();
    }
}
