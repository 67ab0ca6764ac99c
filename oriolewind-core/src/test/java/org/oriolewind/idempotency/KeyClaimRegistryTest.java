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
    private static final int KNOWN = 409;

    private final FakeClock mClock = new FakeClock();
    private final MemoryObjectStore mStore = new MemoryObjectStore();

    /** Runs work when it is told to, against any store. */
    private static final class ManualGateway implements PlatformExecutor {
        final ArrayDeque<Consumer<ObjectStore>> mWork = new ArrayDeque<>();

        @Override
        public <T> void submit(
                TaskQueue lane, PlatformTask<T> task, Consumer<PlatformResult<T>> done) {
            mWork.add(store -> done.accept(PlatformResult.of(task, store)));
        }

        void runOne(ObjectStore store) {
            Consumer<ObjectStore> work = mWork.poll();
            if (work != null) {
                work.accept(store);
            }
        }
    }

    /** One holder, real or supposed, of the duty. */
    private final class Holder {
        final ManualGateway mGateway = new ManualGateway();
        final KeyClaimRegistry mDuty = new KeyClaimRegistry(mGateway, mClock);
        long mTerm;

        Holder(long term) {
            mTerm = term;
        }

        void settle() {
            for (int i = 0; i < 4; i++) {
                mDuty.tick(true, mTerm);
                mGateway.runOne(mStore);
            }
        }

        Optional<CallAnswer> request(KeyOperation operation, String key, String nonce) {
            List<CallAnswer> answers = new ArrayList<>();
            mDuty.onRequest(keyRequest(operation, key, nonce), answers::add);
            settle();
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

    private Holder holder(long term) {
        Holder holder = new Holder(term);
        holder.settle();
        return holder;
    }

    @Test
    void ofTwoClaimsAtOnceOneIsGranted() {
        Holder holder = holder(1);
        List<Integer> statuses = new ArrayList<>();
        for (String nonce : List.of("a", "b")) {
            holder.mDuty.onRequest(
                    keyRequest(KeyOperation.KEY_OPERATION_CLAIM, "k", nonce),
                    answer -> statuses.add(answer.getStatus()));
        }
        holder.settle();
        assertEquals(List.of(KNOWN, GRANTED), statuses);
    }

    @Test
    void claimIsGrantedOnlyOnceItIsWritten() {
        Holder holder = holder(1);
        List<CallAnswer> answers = new ArrayList<>();
        holder.mDuty.onRequest(
                keyRequest(KeyOperation.KEY_OPERATION_CLAIM, "k", "a"), answers::add);
        holder.mDuty.tick(true, 1);
        assertTrue(answers.isEmpty());
        holder.mGateway.runOne(mStore);
        assertEquals(GRANTED, answers.get(0).getStatus());
    }

    @Test
    void repeatGetsTheAnswerOfTheFirstCall() {
        Holder holder = holder(1);
        holder.claim("k", "a");
        CallAnswer first =
                CallAnswer.newBuilder()
                        .setOutcome(CallOutcome.CALL_OUTCOME_ANSWERED)
                        .setStatus(200)
                        .setBody(ByteString.copyFromUtf8("printed"))
                        .build();
        holder.mDuty.onRequest(KeyClaimRegistry.doneRequest("k", "a", first), answer -> {});
        CallAnswer again = holder.request(KeyOperation.KEY_OPERATION_CLAIM, "k", "b").orElseThrow();
        assertEquals(first, again);
    }

    @Test
    void successorKnowsTheClaimsOfAHolderThatDied() {
        holder(1).claim("k", "a");
        Holder successor = holder(2);
        assertEquals(KNOWN, successor.claim("k", "b"));
        assertEquals(GRANTED, successor.claim("other", "c"));
    }

    @Test
    void claimGivenBackMayBeTakenAgainEvenFromASuccessor() {
        Holder holder = holder(1);
        holder.claim("k", "a");
        holder.request(KeyOperation.KEY_OPERATION_RELEASE, "k", "a");
        assertEquals(GRANTED, holder(2).claim("k", "b"));
    }

    @Test
    void releaseOfAnotherClaimChangesNothing() {
        Holder holder = holder(1);
        holder.claim("k", "a");
        holder.request(KeyOperation.KEY_OPERATION_RELEASE, "k", "z");
        assertEquals(KNOWN, holder.claim("k", "b"));
    }

    @Test
    void nothingIsGrantedWhileThePlatformIsAway() {
        Holder holder = holder(1);
        mStore.setOutage(true);
        CallAnswer refused =
                holder.request(KeyOperation.KEY_OPERATION_CLAIM, "k", "a").orElseThrow();
        assertEquals(CallOutcome.CALL_OUTCOME_NOT_RUN, refused.getOutcome());
        mStore.setOutage(false);
        holder.settle();
        assertEquals(GRANTED, holder.claim("k", "b"));
    }

    @Test
    void claimWhoseWriteWasLostOnTheWayBackStaysTaken() {
        Holder holder = holder(1);
        mStore.loseAnswers(1);
        CallAnswer refused =
                holder.request(KeyOperation.KEY_OPERATION_CLAIM, "k", "a").orElseThrow();
        assertEquals(CallOutcome.CALL_OUTCOME_NOT_RUN, refused.getOutcome());
        holder.settle();
        assertEquals(KNOWN, holder.claim("k", "b"));
        holder.request(KeyOperation.KEY_OPERATION_RELEASE, "k", "a");
        assertEquals(GRANTED, holder.claim("k", "c"));
    }

    @Test
    void fullRingRefusesRatherThanForgetTooEarly() {
        Holder holder = holder(1);
        int granted = 0;
        int total = KeyJournal.SEGMENTS * KeyJournal.MAX_ENTRIES + 5000;
        for (int i = 0; i < total; i += 500) {
            List<Integer> statuses = new ArrayList<>();
            for (int j = i; j < i + 500; j++) {
                holder.mDuty.onRequest(
                        keyRequest(KeyOperation.KEY_OPERATION_CLAIM, "k" + j, "n"),
                        answer -> statuses.add(answer.getStatus()));
            }
            holder.settle();
            granted += (int) statuses.stream().filter(s -> s == GRANTED).count();
        }
        assertTrue(granted <= KeyJournal.SEGMENTS * KeyJournal.MAX_ENTRIES, "granted " + granted);
        assertEquals(KNOWN, holder.claim("k0", "again"));
        mClock.advance(KeyJournal.RETENTION.plus(Duration.ofSeconds(1)));
        assertEquals(GRANTED, holder.claim("fresh", "n"));
    }

    /** Lets other holders' work run before each call to the platform. */
    private final class Interleaved implements ObjectStore {
        private final Random mRandom;
        private final List<Holder> mHolders;
        private int mDepth;

        Interleaved(Random random, List<Holder> holders) {
            mRandom = random;
            mHolders = holders;
        }

        private void interrupt() {
            if (mDepth < 3 && mRandom.nextInt(3) == 0) {
                mDepth++;
                mHolders.get(mRandom.nextInt(mHolders.size())).mGateway.runOne(this);
                mDepth--;
            }
        }

        @Override
        public Optional<StoredObject> get(String key) throws PlatformException {
            interrupt();
            return mStore.get(key);
        }

        @Override
        public long put(String key, byte[] value, long expected) throws PlatformException {
            interrupt();
            return mStore.put(key, value, expected);
        }

        @Override
        public WatchBatch list(String prefix) throws PlatformException {
            interrupt();
            return mStore.list(prefix);
        }

        @Override
        public WatchBatch watch(String prefix, long after, Duration wait) {
            throw new AssertionError("the journal does not watch");
        }
    }

    /** Whoever believes to hold the duty, and however writes cross, a key is granted once. */
    @Property(tries = 300, seed = "77")
    void keyIsGrantedOnceWhateverHoldersBelieve(@ForAll long seed) throws Exception {
        MemoryObjectStore fresh = mStore;
        Random random = new Random(seed);
        List<Holder> holders = List.of(new Holder(1), new Holder(2), new Holder(3));
        Interleaved store = new Interleaved(random, holders);
        String prefix = "s" + seed + "-";
        Map<String, Integer> grants = new HashMap<>();
        for (int step = 0; step < 200; step++) {
            Holder holder = holders.get(random.nextInt(holders.size()));
            switch (random.nextInt(6)) {
                case 0 -> holder.mDuty.tick(random.nextInt(8) != 0, holder.mTerm);
                case 1 -> fresh.loseAnswers(random.nextInt(2));
                case 2, 3 -> {
                    String key = prefix + random.nextInt(20);
                    holder.mDuty.onRequest(
                            keyRequest(KeyOperation.KEY_OPERATION_CLAIM, key, "n" + step),
                            answer -> {
                                if (answer.getStatus() == GRANTED) {
                                    grants.merge(key, 1, Integer::sum);
                                }
                            });
                }
                default -> {
                    holder.mDuty.tick(true, holder.mTerm);
                    holder.mGateway.runOne(store);
                }
            }
        }
        grants.forEach((key, count) -> assertEquals(1, count, key));
    }
}
