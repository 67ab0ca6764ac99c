package org.oriolewind.analysis;

import org.oriolewind.wire.EvidenceCount;

/** Sums of evidence for one key. Not safe for use by several threads. */
public final class EvidenceTotals {
    private final long[] mBuckets = new long[LatencyBuckets.COUNT];
    private long mCalls;
    private long mFailures;
    private long mColdCalls;
    private long mRefusals;

    /**
     * Adds one call that the backend server ran, or that failed on the way.
     *
     * @param failed whether the call failed
     * @param cold whether the gate was opening after a cold start; the latency does not count then
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

    /** Adds one call that the gate refused as not run. */
    public void addRefusal() {
        mRefusals++;
    }

    /**
     * Adds the sums of a report.
     *
     * @param count the sums; buckets beyond the known ones are ignored
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
     * Adds other sums.
     *
     * @param other the sums to add
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
     * Writes the sums for a report.
     *
     * @param key what was counted
     * @return the message
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
     * Returns the bucket at or below which a share of the calls stayed.
     *
     * @param quantile the share, between 0 and 1
     * @return the bucket's index; the last one if there are no calls
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
     * Counts the calls slower than a bucket.
     *
     * @param bucket the bucket's index
     * @return the calls in later buckets
     */
    public long slowerThan(int bucket) {
        long slow = 0;
        for (int i = bucket + 1; i < LatencyBuckets.COUNT; i++) {
            slow += mBuckets[i];
        }
        return slow;
    }

    /**
     * Returns the calls counted, cold ones included and refusals not.
     *
     * @return the number of calls
     */
    public long calls() {
        return mCalls;
    }

    /**
     * Returns the calls whose latency counts.
     *
     * @return the number of calls, cold ones not included
     */
    public long timedCalls() {
        return mCalls - mColdCalls;
    }

    /**
     * Returns the failed calls.
     *
     * @return the number of calls
     */
    public long failures() {
        return mFailures;
    }

    /**
     * Returns the calls that ran while a gate was opening.
     *
     * @return the number of calls
     */
    public long coldCalls() {
        return mColdCalls;
    }

    /**
     * Returns the calls refused as not run.
     *
     * @return the number of calls
     */
    public long refusals() {
        return mRefusals;
    }

    /**
     * Returns whether nothing was counted.
     *
     * @return true if all sums are zero
     */
    public boolean isEmpty() {
        return mCalls == 0 && mRefusals == 0;
    }
}
