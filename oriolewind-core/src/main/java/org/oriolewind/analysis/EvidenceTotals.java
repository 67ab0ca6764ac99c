package org.oriolewind.analysis;

import org.oriolewind.wire.EvidenceCount;

/** Sums of the evidence for one {@link EvidenceKey}. Not thread-safe. */
public final class EvidenceTotals {
    private final long[] mBuckets = new long[LatencyBuckets.COUNT];
    private long mCalls;
    private long mFailures;
    private long mColdCalls;
    private long mRefusals;

    /**
     * Adds one call that the backend server ran, or that failed on the connection to it.
     *
     * @param failed whether the call failed
     * @param cold whether the backend server was in its cold start; the latency is then left out
     * @param micros time in the backend server, in microseconds
     */
    public void addCall(boolean failed, boolean cold, long micros) {
        mCalls++;
        if (failed) {
            mFailures++;
        }
        if (cold) {
            mColdCalls++;
        } else {
            mBuckets[LatencyBuckets.indexOf(micros)]++;
        }
    }

    /** Adds one call that the admission gate refused as not run. */
    public void addRefusal() {
        mRefusals++;
    }

    /**
     * Adds the sums of a report.
     *
     * @param count the sums; latency buckets beyond {@link LatencyBuckets#COUNT} are ignored
     */
    public void add(EvidenceCount count) {
        mCalls += count.getCalls();
        mFailures += count.getFailures();
        mColdCalls += count.getColdCalls();
        mRefusals += count.getRefusals();
        int known = Math.min(LatencyBuckets.COUNT, count.getLatencyBucketsCount());
        for (int i = 0; i < known; i++) {
            mBuckets[i] += count.getLatencyBuckets(i);
        }
    }

    /**
     * Adds the sums of another route or version.
     *
     * @param other the sums to add, not changed
     */
    public void add(EvidenceTotals other) {
        mCalls += other.mCalls;
        mFailures += other.mFailures;
        mColdCalls += other.mColdCalls;
        mRefusals += other.mRefusals;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            mBuckets[i] += other.mBuckets[i];
        }
    }

    /**
     * Converts the sums to a message for a report.
     *
     * @param key the service, version and route of these sums
     * @return the message, without the empty buckets at the end
     */
    public EvidenceCount toMessage(EvidenceKey key) {
        EvidenceCount.Builder count =
                EvidenceCount.newBuilder()
                        .setService(key.service())
                        .setServiceVersion(key.version())
                        .setRoute(key.route())
                        .setCalls(mCalls)
                        .setFailures(mFailures)
                        .setColdCalls(mColdCalls)
                        .setRefusals(mRefusals);
        int last = LatencyBuckets.COUNT;
        while (last > 0 && mBuckets[last - 1] == 0) {
            last--;
        }
        for (int i = 0; i < last; i++) {
            count.addLatencyBuckets((int) mBuckets[i]);
        }
        return count.build();
    }

    /**
     * Returns the latency bucket that contains a quantile of the timed calls.
     *
     * @param quantile the share of calls in this bucket and faster ones, between 0 and 1
     * @return the bucket's index; the last one if there are no timed calls
     */
    public int quantileBucket(double quantile) {
        long needed = (long) Math.ceil(timedCalls() * quantile);
        long seen = 0;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            seen += mBuckets[i];
            if (needed > 0 && seen >= needed) {
                return i;
            }
        }
        return LatencyBuckets.COUNT - 1;
    }

    /**
     * Returns the number of timed calls slower than a bucket.
     *
     * @param bucket the bucket's index
     * @return the number of calls in all later buckets
     */
    public long slowerThan(int bucket) {
        long slow = 0;
        for (int i = bucket + 1; i < LatencyBuckets.COUNT; i++) {
            slow += mBuckets[i];
        }
        return slow;
    }

    /**
     * Returns the number of calls that were run or failed.
     *
     * @return the number, calls during a cold start included and refused calls not
     */
    public long calls() {
        return mCalls;
    }

    /**
     * Returns the number of calls whose latency was recorded.
     *
     * @return the number, calls during a cold start not included
     */
    public long timedCalls() {
        return mCalls - mColdCalls;
    }

    /** Returns the number of failed calls, those during a cold start included. */
    public long failures() {
        return mFailures;
    }

    /** Returns the number of calls that ran during a cold start of their backend server. */
    public long coldCalls() {
        return mColdCalls;
    }

    /** Returns the number of calls that the admission gate refused as not run. */
    public long refusals() {
        return mRefusals;
    }

    /** Returns whether neither a call nor a refusal was counted. */
    public boolean isEmpty() {
        return mCalls == 0 && mRefusals == 0;
    }
}
