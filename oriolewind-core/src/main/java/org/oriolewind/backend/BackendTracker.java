package org.oriolewind.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;

/**
 * Follows the backend server beside this node through its heartbeats.
 *
 * <p>Invariants: an incarnation that was succeeded or has left never comes back; within an
 * incarnation a heartbeat that is not newer than the latest one changes nothing; once draining, an
 * incarnation stays so. Not safe for use by several threads.
 */
public final class BackendTracker {
    /** Time without heartbeats after which it counts as lost: three of the usual 1.5 s. */
    private static final double LOST_AFTER_HEARTBEATS = 3.0;

    private final NodeClock mClock;
    private final String mAddress;
    private final long mLostAfterMillis;
    private final Map<String, Long> mEnded = new HashMap<>();
    private Optional<BackendHeartbeat> mLatest = Optional.empty();
    private BackendPhase mPhase = BackendPhase.BACKEND_PHASE_UNSPECIFIED;
    private long mHeardMillis;
    private long mColdUntilMillis;
    private boolean mUnreachable;

    /** What a heartbeat changed. */
    public enum Change {
        /** Late, or of another writer. */
        IGNORED,
        /** Nothing that others need to hear at once. */
        REFRESHED,
        /** A new incarnation. */
        STARTED,
        /** The phase or the coldness changed. */
        CHANGED
    }

    /**
     * Creates a tracker.
     *
     * @param clock the clock
     * @param address the backend server's address
     * @param heartbeatMillis time between heartbeats
     */
    public BackendTracker(NodeClock clock, String address, long heartbeatMillis) {
        mClock = clock;
        mAddress = address;
        mLostAfterMillis = (long) (heartbeatMillis * LOST_AFTER_HEARTBEATS);
    }

    /**
     * Takes a heartbeat.
     *
     * @param report the heartbeat
     * @return what it changed
     */
    public Change onReport(BackendHeartbeat report) {
        if (!report.address().equals(mAddress) || isEnded(report) || isOlder(report)) {
            return Change.IGNORED;
        }
        long now = mClock.monotonicMillis();
        BackendPhase phase =
                report.draining()
                        ? BackendPhase.BACKEND_PHASE_DRAINING
                        : BackendPhase.BACKEND_PHASE_READY;
        boolean sameLife = mLatest.filter(l -> l.isSameIncarnation(report)).isPresent();
        if (!sameLife) {
            mLatest.ifPresent(l -> mEnded.put(l.instanceId(), l.startedMillis()));
            take(report, phase, now);
            return Change.STARTED;
        }
        if (mPhase != BackendPhase.BACKEND_PHASE_READY) {
            phase = mPhase;
        }
        boolean changed =
                phase != mPhase || mUnreachable || report.coldMillis() > 0 != isCold() || isLost();
        take(report, phase, now);
        return changed ? Change.CHANGED : Change.REFRESHED;
    }

    private boolean isEnded(BackendHeartbeat report) {
        Long born = mEnded.get(report.instanceId());
        return born != null && report.startedMillis() <= born;
    }

    private boolean isOlder(BackendHeartbeat report) {
        if (mLatest.isEmpty()) {
            return false;
        }
        BackendHeartbeat latest = mLatest.get();
        return latest.isSameIncarnation(report)
                ? report.sequence() <= latest.sequence()
                : report.startedMillis() < latest.startedMillis();
    }

    private void take(BackendHeartbeat report, BackendPhase phase, long now) {
        mLatest = Optional.of(report);
        mPhase = phase;
        mHeardMillis = now;
        mColdUntilMillis = now + report.coldMillis();
        mUnreachable = false;
    }

    /**
     * Takes the end of a backend server that it announced itself.
     *
     * @param instanceId id of the lifetime that ends
     * @param startedMillis its start, 0 if not said
     * @return true if it is the present one
     */
    public boolean onLeave(String instanceId, long startedMillis) {
        boolean present =
                mLatest.filter(l -> l.instanceId().equals(instanceId))
                        .filter(l -> startedMillis == 0 || l.startedMillis() <= startedMillis)
                        .isPresent();
        if (!present) {
            // A leave without a start ends every life that can have begun by now.
            long ended = startedMillis == 0 ? mClock.millis() : startedMillis;
            mEnded.merge(instanceId, ended, Math::max);
            return false;
        }
        mPhase = BackendPhase.BACKEND_PHASE_GONE;
        mEnded.put(instanceId, mLatest.get().startedMillis());
        return true;
    }

    /** Takes that the backend server refused a connection. It is passed over until it reports. */
    public void onUnreachable() {
        mUnreachable = true;
    }

    /** Takes that another backend server answers at the address. */
    public void onWrongInstance() {
        mUnreachable = true;
    }

    /**
     * Returns whether the backend server takes new requests.
     *
     * @return true if it is ready and was heard of lately
     */
    public boolean isReady() {
        return mPhase == BackendPhase.BACKEND_PHASE_READY && !mUnreachable && !isLost();
    }

    private boolean isLost() {
        return mClock.monotonicMillis() - mHeardMillis > mLostAfterMillis;
    }

    /**
     * Returns whether the backend server is cold.
     *
     * @return true if it said so and the time has not passed
     */
    public boolean isCold() {
        return mClock.monotonicMillis() < mColdUntilMillis;
    }

    /**
     * Returns the latest heartbeat.
     *
     * @return the heartbeat, empty before the first one
     */
    public Optional<BackendHeartbeat> latest() {
        return mLatest;
    }

    /**
     * Returns the phase.
     *
     * @return the phase
     */
    public BackendPhase phase() {
        return mPhase;
    }

    /**
     * Returns the entry for other nodes.
     *
     * @return the entry
     */
    public BackendEntry entry() {
        if (mLatest.isEmpty()) {
            return BackendEntry.getDefaultInstance();
        }
        BackendHeartbeat report = mLatest.get();
        BackendPhase phase =
                mPhase == BackendPhase.BACKEND_PHASE_READY && !isReady()
                        ? BackendPhase.BACKEND_PHASE_GONE
                        : mPhase;
        return BackendEntry.newBuilder()
                .setInstanceId(report.instanceId())
                .setBornMillis(report.startedMillis())
                .setService(report.service())
                .setVersion(report.version())
                .setPhase(phase)
                .setSlots(report.slots())
                .setColdMillis((int) Math.max(0, mColdUntilMillis - mClock.monotonicMillis()))
                .build();
    }
}
