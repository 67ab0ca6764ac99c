package org.oriolewind.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;

/**
 * Tracks the state of the backend server beside this node from its heartbeats.
 *
 * <p>Invariants: an incarnation that was replaced by a later one or has deregistered never becomes
 * current again; within an incarnation a heartbeat that is not newer than the latest one changes
 * nothing; an incarnation that is draining never becomes ready again. Not thread-safe.
 */
public final class BackendTracker {
    /**
     * Missed heartbeats after which the backend server counts as lost: 4.5 s at the usual interval
     * of 1.5 s.
     */
    private static final double LOST_AFTER_HEARTBEATS = 3.0;

    private final NodeClock mClock;
    private final String mAddress;
    private final long mLostAfterMillis;
    private final Map<String, Long> mEndedIncarnations = new HashMap<>();
    private Optional<BackendHeartbeat> mLatest = Optional.empty();
    private BackendPhase mPhase = BackendPhase.BACKEND_PHASE_UNSPECIFIED;
    private long mLastHeartbeatMillis;
    private long mColdUntilMillis;
    private boolean mUnreachable;

    /** Effect of a heartbeat. */
    public enum Change {
        /** The heartbeat is outdated or belongs to another address. */
        IGNORED,
        /** Nothing changed that has to be sent to other nodes at once. */
        REFRESHED,
        /** The heartbeat is the first of a new incarnation. */
        STARTED,
        /** The phase changed, or whether the backend server is cold, lost or unreachable. */
        CHANGED
    }

    /**
     * Creates a tracker that has received no heartbeat.
     *
     * @param clock provides monotonic time, and Unix time for deregistrations without a start time
     * @param address the backend server's address; heartbeats with another one are ignored
     * @param heartbeatMillis interval between heartbeats
     */
    public BackendTracker(NodeClock clock, String address, long heartbeatMillis) {
        mClock = clock;
        mAddress = address;
        mLostAfterMillis = (long) (heartbeatMillis * LOST_AFTER_HEARTBEATS);
    }

    /**
     * Applies a heartbeat, unless it is outdated or belongs to another address.
     *
     * @param heartbeat a heartbeat of any incarnation and address
     * @return its effect
     */
    public Change onHeartbeat(BackendHeartbeat heartbeat) {
        if (!heartbeat.address().equals(mAddress) || isEnded(heartbeat) || isOlder(heartbeat)) {
            return Change.IGNORED;
        }
        long now = mClock.monotonicMillis();
        BackendPhase phase =
                heartbeat.draining()
                        ? BackendPhase.BACKEND_PHASE_DRAINING
                        : BackendPhase.BACKEND_PHASE_READY;
        boolean sameIncarnation = mLatest.filter(l -> l.isSameIncarnation(heartbeat)).isPresent();
        if (!sameIncarnation) {
            mLatest.ifPresent(l -> mEndedIncarnations.put(l.instanceId(), l.startedMillis()));
            update(heartbeat, phase, now);
            return Change.STARTED;
        }
        if (mPhase != BackendPhase.BACKEND_PHASE_READY) {
            phase = mPhase;
        }
        boolean changed =
                phase != mPhase
                        || mUnreachable
                        || heartbeat.coldMillis() > 0 != isCold()
                        || isLost();
        update(heartbeat, phase, now);
        return changed ? Change.CHANGED : Change.REFRESHED;
    }

    private boolean isEnded(BackendHeartbeat heartbeat) {
        Long endedStartMillis = mEndedIncarnations.get(heartbeat.instanceId());
        return endedStartMillis != null && heartbeat.startedMillis() <= endedStartMillis;
    }

    private boolean isOlder(BackendHeartbeat heartbeat) {
        if (mLatest.isEmpty()) {
            return false;
        }
        BackendHeartbeat latest = mLatest.get();
        return latest.isSameIncarnation(heartbeat)
                ? heartbeat.sequence() <= latest.sequence()
                : heartbeat.startedMillis() < latest.startedMillis();
    }

    private void update(BackendHeartbeat heartbeat, BackendPhase phase, long now) {
        mLatest = Optional.of(heartbeat);
        mPhase = phase;
        mLastHeartbeatMillis = now;
        mColdUntilMillis = now + heartbeat.coldMillis();
        mUnreachable = false;
    }

    /**
     * Records that a backend server deregistered, which it does before its shutdown.
     *
     * @param instanceId ID of the instance that deregistered
     * @param startedMillis start of its incarnation in Unix milliseconds, 0 if not stated
     * @return true if it is the current incarnation
     */
    public boolean onDeregistered(String instanceId, long startedMillis) {
        boolean current =
                mLatest.filter(l -> l.instanceId().equals(instanceId))
                        .filter(l -> startedMillis == 0 || l.startedMillis() <= startedMillis)
                        .isPresent();
        if (!current) {
            // A deregistration without a start time ends all incarnations that can have started by
            // now.
            long ended = startedMillis == 0 ? mClock.millis() : startedMillis;
            mEndedIncarnations.merge(instanceId, ended, Math::max);
            return false;
        }
        mPhase = BackendPhase.BACKEND_PHASE_GONE;
        mEndedIncarnations.put(instanceId, mLatest.get().startedMillis());
        return true;
    }

    /**
     * Records that the backend server refused a connection. It is not ready until its next
     * heartbeat.
     */
    public void onUnreachable() {
        mUnreachable = true;
    }

    /**
     * Records that another instance answers at the address. The backend server is not ready until
     * its next heartbeat.
     */
    public void onWrongInstance() {
        mUnreachable = true;
    }

    /**
     * Returns whether the backend server accepts new requests.
     *
     * @return true if it is ready, reachable and not lost
     */
    public boolean isReady() {
        return mPhase == BackendPhase.BACKEND_PHASE_READY && !mUnreachable && !isLost();
    }

    private boolean isLost() {
        return mClock.monotonicMillis() - mLastHeartbeatMillis > mLostAfterMillis;
    }

    /**
     * Returns whether the backend server is cold.
     *
     * @return true if its latest heartbeat stated a cold time that has not elapsed
     */
    public boolean isCold() {
        return mClock.monotonicMillis() < mColdUntilMillis;
    }

    /**
     * Returns the latest heartbeat that was not ignored.
     *
     * @return the heartbeat, empty before the first one
     */
    public Optional<BackendHeartbeat> latest() {
        return mLatest;
    }

    /**
     * Returns when the latest heartbeat arrived that was not ignored.
     *
     * @return monotonic milliseconds, 0 before the first heartbeat
     */
    public long latestReceivedMillis() {
        return mLastHeartbeatMillis;
    }

    /**
     * Returns the phase of the current incarnation, regardless of missed heartbeats.
     *
     * @return the phase, unspecified before the first heartbeat
     */
    public BackendPhase phase() {
        return mPhase;
    }

    /**
     * Returns the state that is published to other nodes.
     *
     * @return the entry, with phase gone if the backend server is lost or unreachable; the default
     *     instance before the first heartbeat
     */
    public BackendEntry entry() {
        if (mLatest.isEmpty()) {
            return BackendEntry.getDefaultInstance();
        }
        BackendHeartbeat heartbeat = mLatest.get();
        BackendPhase phase =
                mPhase == BackendPhase.BACKEND_PHASE_READY && !isReady()
                        ? BackendPhase.BACKEND_PHASE_GONE
                        : mPhase;
        return BackendEntry.newBuilder()
                .setInstanceId(heartbeat.instanceId())
                .setBornMillis(heartbeat.startedMillis())
                .setService(heartbeat.service())
                .setVersion(heartbeat.version())
                .setPhase(phase)
                .setSlots(heartbeat.slots())
                .setColdMillis((int) Math.max(0, mColdUntilMillis - mClock.monotonicMillis()))
                .build();
    }
}
