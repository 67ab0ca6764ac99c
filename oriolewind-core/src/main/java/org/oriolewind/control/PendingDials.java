package org.oriolewind.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** Matches the ends of dials with those who asked for them. Belongs to the control thread. */
final class PendingDials {
    private final LinkPort mPort;
    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mNext = 1;

    PendingDials(LinkPort port) {
        mPort = port;
    }

    private record Pending(LongConsumer onDialed, Runnable onFailed) {}

    void dial(String peerAddress, LongConsumer onDialed, Runnable onFailed) {
        long dial = mNext++;
        mPending.put(dial, new Pending(onDialed, onFailed));
        mPort.dial(peerAddress, dial);
    }

    void onDialed(long dial, long link) {
        Pending pending = mPending.remove(dial);
        if (pending == null) {
            mPort.close(link);
            return;
        }
        pending.onDialed().accept(link);
    }

    void onDialFailed(long dial) {
        Pending pending = mPending.remove(dial);
        if (pending != null) {
            pending.onFailed().run();
        }
    }
}
