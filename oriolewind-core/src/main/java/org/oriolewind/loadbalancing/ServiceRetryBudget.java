package org.oriolewind.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.oriolewind.time.NodeClock;

/**
 * Limits the retries of this node for each service. The limit for all nodes together is a share of
 * the requests in a sliding window plus a fixed allowance; this node may use the share of its own
 * requests and an equal part of the allowance. Not thread-safe.
 */
public final class ServiceRetryBudget {
    /**
     * Share of the limit that is used. A retry repeats its nested calls, which count as retries at
     * the nodes where they arrive, and the windows and node counts of other nodes differ from those
     * of this node.
     */
    private static final double USED_SHARE = 0.4;

    private static final int SLICES = 10;

    private final NodeClock mClock;
    private final double mShare;
    private final double mAllowance;
    private final long mSliceMillis;
    private final IntSupplier mNodes;
    private final Map<String, Window> mWindows = new HashMap<>();

    /**
     * Counts of requests and retries in each slice of the window, as a ring in which the oldest
     * slice is overwritten first.
     */
    private static final class Window {
        final long[] mSliceNumbers = new long[SLICES];
        final int[] mRequests = new int[SLICES];
        final int[] mRetries = new int[SLICES];
    }

    /**
     * Creates a budget without any requests in its window.
     *
     * @param clock measures the window
     * @param share retries per request
     * @param allowance additional retries in each window for all nodes together
     * @param windowMillis length of the sliding window
     * @param nodes returns the number of nodes that share the allowance
     */
    public ServiceRetryBudget(
            NodeClock clock, double share, double allowance, long windowMillis, IntSupplier nodes) {
        mClock = clock;
        mShare = share;
        mAllowance = allowance;
        mSliceMillis = Math.max(1, windowMillis / SLICES);
        mNodes = nodes;
    }

    private int slot(Window window) {
        long slice = mClock.monotonicMillis() / mSliceMillis;
        int slot = (int) (slice % SLICES);
        if (window.mSliceNumbers[slot] != slice) {
            window.mSliceNumbers[slot] = slice;
            window.mRequests[slot] = 0;
            window.mRetries[slot] = 0;
        }
        return slot;
    }

    private Window window(String service) {
        return mWindows.computeIfAbsent(service, s -> new Window());
    }

    /**
     * Counts a request.
     *
     * @param service the service that the request is sent to
     */
    public void onRequest(String service) {
        Window window = window(service);
        window.mRequests[slot(window)]++;
    }

    /**
     * Charges one retry to a service's budget.
     *
     * @param service the service's name
     * @return false if the budget is exhausted
     */
    public boolean tryRetry(String service) {
        Window window = window(service);
        int slot = slot(window);
        long oldest = window.mSliceNumbers[slot] - SLICES + 1;
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < SLICES; i++) {
            if (window.mSliceNumbers[i] >= oldest) {
                requests += window.mRequests[i];
                retries += window.mRetries[i];
            }
        }
        double limit = mShare * requests + mAllowance / Math.max(1, mNodes.getAsInt());
        if (retries + 1 > USED_SHARE * limit) {
            return false;
        }
        window.mRetries[slot]++;
        return true;
    }
}
