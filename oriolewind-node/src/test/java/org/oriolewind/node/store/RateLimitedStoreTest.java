package org.oriolewind.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.platform.MemoryObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.time.FakeClock;

class RateLimitedStoreTest {
    private final FakeClock mClock = new FakeClock();
    private final MemoryObjectStore mPlatform = new MemoryObjectStore();

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 20})
    void callsStayWithinTheRate(int callsPerSecond) {
        RateLimitedStore store = new RateLimitedStore(mPlatform, mClock, callsPerSecond);
        int seconds = 30;
        for (int i = 0; i < seconds * 100; i++) {
            mClock.advanceMillis(10);
            try {
                store.get("key");
            } catch (PlatformException e) {
                assertEquals(PlatformException.Kind.RATE_LIMITED, e.kind());
            }
        }
        long sent = mPlatform.counts().reads();
        assertEquals(store.calls(), sent);
        assertTrue(sent <= callsPerSecond * (seconds + 1L), "sent " + sent);
        assertTrue(sent >= callsPerSecond * (seconds - 1L), "sent " + sent);
    }

    @Test
    void callAboveTheRateIsNotSent() throws Exception {
        RateLimitedStore store = new RateLimitedStore(mPlatform, mClock, 1);
        store.put("key", new byte[1], MemoryObjectStore.ABSENT);
        PlatformException e =
                assertThrows(PlatformException.class, () -> store.put("key", new byte[1], 1));
        assertEquals(PlatformException.Kind.RATE_LIMITED, e.kind());
        assertTrue(!e.kind().mayHaveEffect());
        assertEquals(1, mPlatform.counts().writes());
    }
}
