package org.oriolewind.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.oriolewind.wire.CallOutcome;

class CallDispatcherTest {
    private static final int CALLS = 300;
    private static final long TIMEOUT_MILLIS = 200;

    private static CallerCall call(FakeCallNetwork network, String id, String path) {
        return new CallerCall(
                id,
                "POST",
                path,
                path,
                List.of(),
                ByteString.EMPTY,
                network.mClock.monotonicMillis() + TIMEOUT_MILLIS,
                0,
                Optional.empty());
    }

    private static Map<String, CallResult> makeCalls(
            FakeCallNetwork network, long seed, String path) {
        Random random = new Random(seed);
        Map<String, CallResult> results = new HashMap<>();
        for (int i = 0; i < CALLS; i++) {
            String id = "c" + i;
            network.mNodes
                    .get(random.nextInt(network.mNodes.size()))
                    .mDispatcher
                    .dispatch(
                            call(network, id, path),
                            result -> {
                                CallResult earlier = results.put(id, result);
                                assertTrue(earlier == null, "call ended twice: " + id);
                            });
            network.run(random.nextInt(6));
        }
        network.run(5000);
        return results;
    }

    /**
     * Every call ends, runs at most once, and is never refused as not run after it ran, whichever
     * step of the call fails.
     */
    @Property(tries = 60, seed = "99")
    void everyCallEndsAndRunsAtMostOnceUnderFaults(@ForAll long seed) throws Exception {
        FakeCallNetwork network = new FakeCallNetwork(seed, 6, 0.08);
        Map<String, CallResult> results = makeCalls(network, seed, "/print");
        assertEquals(CALLS, results.size(), "every call ends");
        results.forEach((id, result) -> check(network, id, result, 1));
    }

    /**
     * An idempotent call may run more than once, but its caller gets the complete answer of its own
     * call.
     */
    @Property(tries = 30, seed = "100")
    void idempotentCallsMayBeRetried(@ForAll long seed) throws Exception {
        FakeCallNetwork network = new FakeCallNetwork(seed, 6, 0.08);
        Map<String, CallResult> results = makeCalls(network, seed, "/holders");
        assertEquals(CALLS, results.size(), "every call ends");
        results.forEach((id, result) -> check(network, id, result, 4));
    }

    private static void check(FakeCallNetwork network, String id, CallResult result, int maxRuns) {
        int runs = network.mRuns.getOrDefault(id, 0);
        assertTrue(runs <= maxRuns, id + " ran " + runs + " times");
        CallOutcome outcome = result.answer().getOutcome();
        if (outcome == CallOutcome.CALL_OUTCOME_NOT_RUN && maxRuns == 1) {
            assertEquals(0, runs, id + " was refused as not run but ran");
        }
        if (outcome == CallOutcome.CALL_OUTCOME_ANSWERED) {
            assertTrue(runs >= 1, id + " was answered but never ran");
            assertEquals("done " + id, result.answer().getBody().toStringUtf8());
        }
    }

    @Test
    void networkWithoutFaultsAnswersEveryCall() throws Exception {
        FakeCallNetwork network = new FakeCallNetwork(1, 6, 0);
        Map<String, CallResult> results = makeCalls(network, 1, "/print");
        long answered =
                results.values().stream()
                        .filter(r -> r.answer().getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED)
                        .count();
        assertEquals(CALLS, answered);
        assertTrue(network.mRuns.values().stream().allMatch(runs -> runs == 1));
    }

    @Test
    void callWithoutRouteIsNotRun() throws Exception {
        FakeCallNetwork network = new FakeCallNetwork(2, 2, 0);
        Map<String, CallResult> results = makeCalls(network, 2, "/nowhere");
        assertTrue(results.values().stream().allMatch(r -> r.kind() == CallResult.Kind.NO_ROUTE));
        assertTrue(network.mRuns.isEmpty());
    }
}
