package org.oriolewind.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.oriolewind.time.NodeClock;

/**
 * This node's part of the bound on repeats that all nodes share: of each service, a share of the
 * requests that this node sent there in the window, and an equal part of the fixed allowance. Not
 * safe for use by several threads.
 */
public final class ServiceRetryBudget {
    /**
     * Part of the bound that is used. A repeat makes its nested calls again, which count as repeats
     * where they arrive, and other nodes' knowledge and windows differ from ours.
     */
    private static final double USED_PART = 0.4;

    private static final int SLICES = 10;

    private final NodeClock mClock;
    private final double mShare;
    private final double mAllowance;
    private final long mSliceMillis;
    private final IntSupplier mNodes;
    private final Map<String, Window> mWindows = new HashMap<>();

    /** Counts of the window's slices, oldest overwritten first. */
    private static final class Window {
        final long[] mSlice = new long[SLICES];
        final int[] mRequests = new int[SLICES];
        final int[] mRepeats = new int[SLICES];
    }

    /**
     * Creates a budget.
     *
     * @param clock the clock
     * @param share repeats for each request
     * @param allowance repeats that all nodes together may make besides
     * @param windowMillis the window
     * @param nodes the number of nodes that share the bound
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
        if (window.mSlice[slot] != slice) {
            window.mSlice[slot] = slice;
            window.mRequests[slot] = 0;
            window.mRepeats[slot] = 0;
        }
        return slot;
    }

    private Window window(String service) {
        return mWindows.computeIfAbsent(service, s -> new Window());
    }

    /**
     * Counts a request.
     *
     * @param service the service it goes to
     */
    public void onRequest(String service) {
        Window window = window(service);
        window.mRequests[slot(window)]++;
    }

    /**
     * Takes one repeat out of the budget.
     *
     * @param service the service
     * @return false if the budget is used up
     */
    public boolean tryRetry(String service) {
        Window window = window(service);
        int slot = slot(window);
        long oldest = window.mSlice[slot] - SLICES + 1;
        int requests = 0;
        int repeats = 0;
        for (int i = 0; i < SLICES; i++) {
            if (window.mSlice[i] >= oldest) {
                requests += window.mRequests[i];
                repeats += window.mRepeats[i];
            }
        }
        double bound = mShare * requests + mAllowance / Math.max(1, mNodes.getAsInt());
        if (repeats + 1 > USED_PART * bound) {
            return false;
        }
        window.mRepeats[slot]++;
        return true;
    }
}
