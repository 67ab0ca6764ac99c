package org.oriolewind.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Numbers the dials and passes the outcome of each to the callbacks that it was started with. A
 * callback runs at most once. Confined to the control thread.
 */
final class PendingDials {
    private final LinkTransport mTransport;
    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mNextDial = 1;

    PendingDials(LinkTransport transport) {
        mTransport = transport;
    }

    private record Pending(LongConsumer onDialed, Runnable onFailed) {}

    void dial(String peerAddress, LongConsumer onDialed, Runnable onFailed) {
        long dial = mNextDial++;
        mPending.put(dial, new Pending(onDialed, onFailed));
        mTransport.dial(peerAddress, dial);
    }

    void onDialed(long dial, long link) {
        Pending pending = mPending.remove(dial);
        if (pending == null) {
            mTransport.close(link);
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
