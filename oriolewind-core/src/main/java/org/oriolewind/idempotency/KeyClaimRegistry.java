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
 * Settles the claims of idempotency keys for the whole mesh while this node holds the duty's lease.
 * Claims are gathered into one write of the journal at a time; a claim is granted once it is
 * written. What can't be settled is refused as not run.
 *
 * <p>Invariant: of the claims of one key, at most one is granted and not released. Belongs to the
 * control thread.
 */
public final class KeyClaimRegistry {
    private static final int MAX_WAITING = 2000;
    private static final int MAX_ANSWERS = 500;
    private static final int MAX_ANSWER_BYTES = 8192;
    private static final int CREATED = 201;
    private static final int CONFLICT = 409;

    private final PlatformExecutor mGateway;
    private final NodeClock mClock;
    private final Map<String, String> mNonces = new HashMap<>();
    private final Map<String, CallAnswer> mAnswers =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, CallAnswer> eldest) {
                    return size() > MAX_ANSWERS;
                }
            };
    private final List<Waiting> mWaiting = new ArrayList<>();
    private Optional<KeyJournal> mJournal = Optional.empty();
    private long mTerm = -1;
    private boolean mCallOpen;

    /**
     * Creates a duty that is not held.
     *
     * @param gateway the platform
     * @param clock the clock
     */
    public KeyClaimRegistry(PlatformExecutor gateway, NodeClock clock) {
        mGateway = gateway;
        mClock = clock;
    }

    /** A line to be written, and what to do once it is. */
    private record Waiting(KeyJournalEntry entry, Consumer<CallAnswer> done) {}

    /**
     * Does what is due.
     *
     * @param held whether this node holds the lease
     * @param term the lease's term
     */
    public void tick(boolean held, long term) {
        if (!held) {
            close();
            return;
        }
        if (mCallOpen) {
            return;
        }
        if (mJournal.isEmpty() || mTerm != term) {
            open(term);
        } else if (!mWaiting.isEmpty()) {
            append(mJournal.get());
        }
    }

    private void close() {
        mJournal = Optional.empty();
        mNonces.clear();
        mAnswers.clear();
        if (!mCallOpen) {
            refuseWaiting(mWaiting);
        }
    }

    private void open(long term) {
        // What waits was checked against claims that are about to be read anew.
        mJournal = Optional.empty();
        refuseWaiting(mWaiting);
        mCallOpen = true;
        Instant now = mClock.instant();
        mGateway.submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> KeyJournal.open(store, term, now),
                reply -> onOpened(term, reply));
    }

    private void onOpened(long term, PlatformResult<KeyJournal.Opened> reply) {
        mCallOpen = false;
        if (!reply.isOk()) {
            return;
        }
        mTerm = term;
        mNonces.clear();
        mNonces.putAll(reply.value().nonces());
        mJournal = Optional.of(reply.value().journal());
    }

    private void append(KeyJournal journal) {
        Instant now = mClock.instant();
        int room = Math.min(journal.room(now), mWaiting.size());
        List<Waiting> batch = new ArrayList<>(mWaiting.subList(0, room));
        mWaiting.subList(0, room).clear();
        if (batch.isEmpty()) {
            refuseWaiting(mWaiting);
            return;
        }
        mCallOpen = true;
        List<KeyJournalEntry> entries = batch.stream().map(Waiting::entry).toList();
        mGateway.<Boolean>submit(
                PlatformExecutor.TaskQueue.REQUESTS,
                store -> {
                    journal.append(store, entries, now);
                    return true;
                },
                reply -> onAppended(batch, reply));
    }

    private void onAppended(List<Waiting> batch, PlatformResult<Boolean> reply) {
        mCallOpen = false;
        if (reply.isOk()) {
            batch.forEach(waiting -> waiting.done().accept(answer(CREATED)));
            return;
        }
        // Lines may have been written all the same: the journal is read again before the next.
        mJournal = Optional.empty();
        refuseWaiting(batch);
    }

    private void refuseWaiting(List<Waiting> waiting) {
        List<Waiting> refused = new ArrayList<>(waiting);
        waiting.clear();
        for (Waiting one : refused) {
            if (!one.entry().released()) {
                mNonces.remove(one.entry().key(), one.entry().nonce());
            }
            one.done().accept(unsettled());
        }
    }

    /**
     * Takes a request to the duty.
     *
     * @param request a request with a key operation
     * @param done called once with the answer, on the control thread
     */
    public void onRequest(CallRequest request, Consumer<CallAnswer> done) {
        if (mJournal.isEmpty() || mWaiting.size() >= MAX_WAITING) {
            done.accept(unsettled());
            return;
        }
        switch (request.getKeyOperation()) {
            case KEY_OPERATION_CLAIM -> claim(request, done);
            case KEY_OPERATION_RELEASE -> release(request, done);
            case KEY_OPERATION_DONE -> store(request, done);
            default -> done.accept(unsettled());
        }
    }

    private void claim(CallRequest request, Consumer<CallAnswer> done) {
        String key = request.getIdempotencyKey();
        if (mNonces.containsKey(key)) {
            done.accept(mAnswers.getOrDefault(key, answer(CONFLICT)));
            return;
        }
        mNonces.put(key, request.getCallId());
        mWaiting.add(new Waiting(new KeyJournalEntry(key, request.getCallId(), false), done));
    }

    private void release(CallRequest request, Consumer<CallAnswer> done) {
        String key = request.getIdempotencyKey();
        if (mNonces.remove(key, request.getCallId())) {
            mWaiting.add(new Waiting(new KeyJournalEntry(key, request.getCallId(), true), done));
        } else {
            done.accept(answer(CREATED));
        }
    }

    private void store(CallRequest request, Consumer<CallAnswer> done) {
        String key = request.getIdempotencyKey();
        boolean mine = request.getCallId().equals(mNonces.get(key));
        if (mine && isStorable(request.getBody())) {
            mAnswers.put(
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

    private static CallAnswer unsettled() {
        return CallAnswer.newBuilder()
                .setOutcome(CallOutcome.CALL_OUTCOME_NOT_RUN)
                .setNotRunReason(NotRunReason.NOT_RUN_REASON_KEY_UNSETTLED)
                .build();
    }

    /**
     * Returns whether an answer is small enough to be stored.
     *
     * @param answer the answer of the call
     * @return true if so
     */
    public static boolean isStorable(CallAnswer answer) {
        return isStorable(answer.getBody());
    }

    private static boolean isStorable(ByteString body) {
        return body.size() <= MAX_ANSWER_BYTES;
    }

    /**
     * Makes the request that stores an answer.
     *
     * @param key the digest of the key
     * @param nonce the claim's nonce
     * @param answer the answer of the call
     * @return the request
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
