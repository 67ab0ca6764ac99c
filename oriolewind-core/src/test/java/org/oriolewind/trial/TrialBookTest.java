package org.oriolewind.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.policy.TrialOrder;
import org.oriolewind.policy.TrialPhase;
import org.oriolewind.time.FakeClock;

/** Trials on modelled calls: bad versions are taken back with few calls, good ones take over. */
class TrialBookTest {
    private static final int CALLS_PER_SECOND = 80;
    private static final long DURATION_MILLIS = 16_000;
    private static final long OLD_MICROS = 160_000;

    /** Share of the calls that a bad version may get, and calls besides; bounds of the users. */
    private static final double MAX_SHARE = 0.1;

    private static final int MAX_BESIDES = 50;

    private final FakeClock mClock = new FakeClock();

    private record Result(Optional<TrialPhase> phase, int newCalls, int allCalls, long millis) {}

    private static TrialOrder order(Optional<TrialPhase> phase) {
        return new TrialOrder("s", "v2", DURATION_MILLIS, 0, 1, phase);
    }

    private Result play(long seed, double failures, double slowFactor, long badAfterMillis) {
        Random random = new Random(seed);
        TrialBook book = new TrialBook(mClock, random);
        book.onOrders(Map.of("s", order(Optional.empty())));
        long start = mClock.monotonicMillis();
        int newCalls = 0;
        int calls = 0;
        while (mClock.monotonicMillis() - start < DURATION_MILLIS) {
            mClock.advanceMillis(1000 / CALLS_PER_SECOND);
            long elapsed = mClock.monotonicMillis() - start;
            calls++;
            boolean isNew = book.share("s") == TrialShare.NEW_FIRST;
            newCalls += isNew ? 1 : 0;
            boolean bad = isNew && elapsed >= badAfterMillis;
            boolean failed = random.nextDouble() < (bad ? failures : 0.004);
            double spread = Math.exp(random.nextGaussian() * 0.5);
            long micros = (long) (OLD_MICROS * spread * (bad ? slowFactor : 1));
            book.count("s", isNew ? "v2" : "v1", "r", failed, false, micros);
            if (calls % 10 == 0) {
                List<TrialBook.Outcome> outcomes = book.judge(List.of());
                if (!outcomes.isEmpty()) {
                    TrialPhase phase = outcomes.get(0).phase();
                    return new Result(Optional.of(phase), newCalls, calls, elapsed);
                }
            }
        }
        return new Result(Optional.empty(), newCalls, calls, DURATION_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void goodVersionTakesOverInTime(long seed) {
        Result result = play(seed, 0.004, 1, 0);
        assertEquals(Optional.of(TrialPhase.COMPLETED), result.phase());
        assertTrue(result.millis() < DURATION_MILLIS);
    }

    @ParameterizedTest
    @CsvSource({"0.5, 1, 0", "0.36, 1, 0", "0.5, 1, 4000", "0, 8, 0", "0, 5, 3000"})
    void badVersionIsTakenBackWithFewCalls(double failures, double slowFactor, long badAfter) {
        for (long seed = 1; seed <= 10; seed++) {
            Result result = play(seed, failures, slowFactor, badAfter);
            assertEquals(Optional.of(TrialPhase.ROLLED_BACK), result.phase(), "seed " + seed);
            int wholeTime = (int) (CALLS_PER_SECOND * DURATION_MILLIS / 1000);
            assertTrue(
                    result.newCalls() <= MAX_SHARE * wholeTime + MAX_BESIDES,
                    "seed " + seed + ": " + result);
        }
    }

    @Test
    void versionTakenBackGetsNothing() {
        TrialBook book = new TrialBook(mClock, new Random(1));
        book.onOrders(Map.of("s", order(Optional.of(TrialPhase.ROLLED_BACK))));
        for (int i = 0; i < 100; i++) {
            assertEquals(TrialShare.OLD_ONLY, book.share("s"));
        }
    }

    @Test
    void completedVersionGetsEverything() {
        TrialBook book = new TrialBook(mClock, new Random(1));
        book.onOrders(Map.of("s", order(Optional.of(TrialPhase.COMPLETED))));
        assertEquals(TrialShare.NEW_FIRST, book.share("s"));
        assertTrue(book.judge(List.of()).isEmpty());
    }

    @Test
    void newOrderBeginsANewTrial() {
        TrialBook book = new TrialBook(mClock, new Random(1));
        book.onOrders(Map.of("s", order(Optional.of(TrialPhase.ROLLED_BACK))));
        TrialOrder next = new TrialOrder("s", "v3", DURATION_MILLIS, 0, 2, Optional.empty());
        book.onOrders(Map.of("s", next));
        assertEquals(Optional.of("v3"), book.target("s"));
        assertTrue(book.counts().isEmpty());
    }
}
