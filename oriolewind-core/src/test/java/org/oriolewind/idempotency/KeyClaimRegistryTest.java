package org.oriolewind.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.oriolewind.platform.MemoryObjectStore;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.PlatformExecutor;
import org.oriolewind.platform.PlatformResult;
import org.oriolewind.platform.PlatformTask;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.platform.WatchBatch;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.KeyOperation;

class KeyClaimRegistryTest {
    private static final int GRANTED = 201;
    private static final int CONFLICT = 409;

    private final FakeClock mClock = new FakeClock();
    private final MemoryObjectStore mStore = new MemoryObjectStore();

    /** Queues tasks, which a test runs one by one against a store of its choice. */
    private static final class ManualExecutor implements PlatformExecutor {
        final ArrayDeque<Consumer<ObjectStore>> mTasks = new ArrayDeque<>();

        @Override
        public <T> void submit(
                TaskQueue queue, PlatformTask<T> task, Consumer<PlatformResult<T>> done) {
            mTasks.add(store -> done.accept(PlatformResult.of(task, store)));
        }

        void runOne(ObjectStore store) {
            Consumer<ObjectStore> task = mTasks.poll();
            if (task != null) {
                task.accept(store);
            }
        }
    }

    /** A node that holds the rollout lease or wrongly assumes that it does. */
    private final class LeaseHolder {
        final ManualExecutor mExecutor = new ManualExecutor();
        final KeyClaimRegistry mRegistry = new KeyClaimRegistry(mExecutor, mClock);
        long mTerm;

        LeaseHolder(long term) {
            mTerm = term;
        }

        void tickAndRunTasks() {
            for (int i = 0; i < 4; i++) {
                mRegistry.tick(true, mTerm);
                mExecutor.runOne(mStore);
            }
        }

        Optional<CallAnswer> request(KeyOperation operation, String key, String nonce) {
            List<CallAnswer> answers = new ArrayList<>();
            mRegistry.onRequest(keyRequest(operation, key, nonce), answers::add);
            tickAndRunTasks();
            return answers.stream().findFirst();
        }

        int claim(String key, String nonce) {
            return request(KeyOperation.KEY_OPERATION_CLAIM, key, nonce)
                    .map(CallAnswer::getStatus)
                    .orElse(-1);
        }
    }

    private static CallRequest keyRequest(KeyOperation operation, String key, String nonce) {
        return CallRequest.newBuilder()
                .setKeyOperation(operation)
                .setIdempotencyKey(key)
                .setCallId(nonce)
                .build();
    }

    private LeaseHolder leaseHolder(long term) {
        LeaseHolder holder = new LeaseHolder(term);
        holder.tickAndRunTasks();
        return holder;
    }

    @Test
    void oneOfTwoConcurrentClaimsIsGranted() {
        LeaseHolder holder = leaseHolder(1);
        List<Integer> statuses = new ArrayList<>();
        for (String nonce : List.of("a", "b")) {
            holder.mRegistry.onRequest(
                    keyRequest(KeyOperation.KEY_OPERATION_CLAIM, "k", nonce),
                    answer -> statuses.add(answer.getStatus()));
        }
        holder.tickAndRunTasks();
        assertEquals(List.of(CONFLICT, GRANTED), statuses);
    }

    @Test
    void claimIsGrantedOnlyAfterItIsWritten() {
        LeaseHolder holder = leaseHolder(1);
        List<CallAnswer> answers = new ArrayList<>();
        holder.mRegistry.onRequest(
                keyRequest(KeyOperation.KEY_OPERATION_CLAIM, "k", "a"), answers::add);
        holder.mRegistry.tick(true, 1);
        assertTrue(answers.isEmpty());
        holder.mExecutor.runOne(mStore);
        assertEquals(GRANTED, answers.get(0).getStatus());
    }

    @Test
    void repeatedCallGetsTheAnswerOfTheFirstCall() {
        LeaseHolder holder = leaseHolder(1);
        holder.claim("k", "a");
        CallAnswer first =
                CallAnswer.newBuilder()
                        .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                        .setStatus(200)
                        .setBody(ByteString.copyFromUtf8("printed"))
                        .build();
        holder.mRegistry.onRequest(KeyClaimRegistry.doneRequest("k", "a", first), answer -> {});
        CallAnswer again = holder.request(KeyOperation.KEY_OPERATION_CLAIM, "k", "b").orElseThrow();
        assertEquals(first, again);
    }

    @Test
    void nextLeaseHolderHasTheClaimsOfAFailedOne() {
        leaseHolder(1).claim("k", "a");
        LeaseHolder nextLeaseHolder = leaseHolder(2);
        assertEquals(CONFLICT, nextLeaseHolder.claim("k", "b"));
        assertEquals(GRANTED, nextLeaseHolder.claim("other", "c"));
    }

    @Test
    void releasedKeyCanBeClaimedFromTheNextLeaseHolder() {
        LeaseHolder holder = leaseHolder(1);
        holder.claim("k", "a");
        holder.request(KeyOperation.KEY_OPERATION_RELEASE, "k", "a");
        assertEquals(GRANTED, leaseHolder(2).claim("k", "b"));
    }

    @Test
    void releaseWithAnotherNonceIsIgnored() {
        LeaseHolder holder = leaseHolder(1);
        holder.claim("k", "a");
        holder.request(KeyOperation.KEY_OPERATION_RELEASE, "k", "z");
        assertEquals(CONFLICT, holder.claim("k", "b"));
    }

    @Test
    void noClaimIsGrantedDuringAnOutageOfThePlatform() {
        LeaseHolder holder = leaseHolder(1);
        mStore.setOutage(true);
        CallAnswer refused =
                holder.request(KeyOperation.KEY_OPERATION_CLAIM, "k", "a").orElseThrow();
        assertEquals(CallOutcome.CALL_OUTCOME_NOT_RUN, refused.getOutcome());
        mStore.setOutage(false);
        holder.tickAndRunTasks();
        assertEquals(GRANTED, holder.claim("k", "b"));
    }

    @Test
    void claimRemainsIfTheResponseToItsWriteIsLost() {
        LeaseHolder holder = leaseHolder(1);
        mStore.loseResponses(1);
        CallAnswer refused =
                holder.request(KeyOperation.KEY_OPERATION_CLAIM, "k", "a").orElseThrow();
        assertEquals(CallOutcome.CALL_OUTCOME_NOT_RUN, refused.getOutcome());
        holder.tickAndRunTasks();
        assertEquals(CONFLICT, holder.claim("k", "b"));
        holder.request(KeyOperation.KEY_OPERATION_RELEASE, "k", "a");
        assertEquals(GRANTED, holder.claim("k", "c"));
    }

    @Test
    void fullJournalRefusesClaimsInsteadOfDroppingKeys() {
        LeaseHolder holder = leaseHolder(1);
        int granted = 0;
        int total = KeyJournal.SEGMENTS * KeyJournal.MAX_ENTRIES + 5000;
        for (int i = 0; i < total; i += 500) {
            List<Integer> statuses = new ArrayList<>();
            for (int j = i; j < i + 500; j++) {
                holder.mRegistry.onRequest(
                        keyRequest(KeyOperation.KEY_OPERATION_CLAIM, "k" + j, "n"),
                        answer -> statuses.add(answer.getStatus()));
            }
            holder.tickAndRunTasks();
            granted += (int) statuses.stream().filter(s -> s == GRANTED).count();
        }
        assertTrue(granted <= KeyJournal.SEGMENTS * KeyJournal.MAX_ENTRIES, "granted " + granted);
        assertEquals(CONFLICT, holder.claim("k0", "again"));
        mClock.advance(KeyJournal.RETENTION.plus(Duration.ofSeconds(1)));
        assertEquals(GRANTED, holder.claim("fresh", "n"));
    }

    /** A store that may run the tasks of other nodes before each operation. */
    private final class InterleavingStore implements ObjectStore {
        private final Random mRandom;
        private final List<LeaseHolder> mHolders;
        private int mDepth;

        InterleavingStore(Random random, List<LeaseHolder> holders) {
            mRandom = random;
            mHolders = holders;
        }

        private void runOtherTasks() {
            if (mDepth < 3 && mRandom.nextInt(3) == 0) {
                mDepth++;
                mHolders.get(mRandom.nextInt(mHolders.size())).mExecutor.runOne(this);
                mDepth--;
            }
        }

        @Override
        public Optional<StoredObject> get(String key) throws PlatformException {
            runOtherTasks();
            return mStore.get(key);
        }

        @Override
        public long put(String key, byte[] value, long expected) throws PlatformException {
            runOtherTasks();
            return mStore.put(key, value, expected);
        }

        @Override
        public WatchBatch list(String prefix) throws PlatformException {
            runOtherTasks();
            return mStore.list(prefix);
        }

        @Override
        public WatchBatch watch(String prefix, long after, Duration wait) {
            throw new AssertionError("the journal does not watch");
        }
    }

    /**
     * A key is granted at most once, even if several nodes assume that they hold the lease and
     * their writes interleave.
     */
    @Property(tries = 300, seed = "77")
    void keyIsGrantedAtMostOnceWithConcurrentLeaseHolders(@ForAll long seed) throws Exception {
        MemoryObjectStore fresh = mStore;
        Random random = new Random(seed);
        List<LeaseHolder> holders =
                List.of(new LeaseHolder(1), new LeaseHolder(2), new LeaseHolder(3));
        InterleavingStore store = new InterleavingStore(random, holders);
        String prefix = "s" + seed + "-";
        Map<String, Integer> grants = new HashMap<>();
        for (int step = 0; step < 200; step++) {
            LeaseHolder holder = holders.get(random.nextInt(holders.size()));
            switch (random.nextInt(6)) {
                case 0 -> holder.mRegistry.tick(random.nextInt(8) != 0, holder.mTerm);
                case 1 -> fresh.loseResponses(random.nextInt(2));
                case 2, 3 -> {
                    String key = prefix + random.nextInt(20);
                    holder.mRegistry.onRequest(
                            keyRequest(KeyOperation.KEY_OPERATION_CLAIM, key, "n" + step),
                            answer -> {
                                if (answer.getStatus() == GRANTED) {
                                    grants.merge(key, 1, Integer::sum);
                                }
                            });
                }
                default -> {
                    holder.mRegistry.tick(true, holder.mTerm);
                    holder.mExecutor.runOne(store);
                }
            }
        }
        grants.forEach((key, count) -> assertEquals(1, count, key));
    }
}
