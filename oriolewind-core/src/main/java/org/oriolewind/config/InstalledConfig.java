package org.oriolewind.config;

import java.util.ArrayDeque;
import java.util.Optional;

/**
 * The configuration that a node runs, with a short history from which it serves deltas.
 *
 * <p>Invariant: the version only grows, and each version in force was compiled whole. Reads are
 * safe for use by several threads; installations are serialized.
 */
public final class InstalledConfig {
    /** Versions kept for deltas. */
    private static final int HISTORY = 32;

    /** What became of an update. */
    public enum Result {
        /** The version is in force now. */
        INSTALLED,
        /** The version is not newer than the one in force. */
        NOT_NEWER,
        /** The delta builds on another version, or its digest differs. */
        GAP
    }

    private final ArrayDeque<ConfigSnapshot> mHistory = new ArrayDeque<>();
    private volatile MeshConfig mCurrent = MeshConfig.EMPTY;

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, never null
     */
    public MeshConfig current() {
        return mCurrent;
    }

    /**
     * Installs a whole configuration.
     *
     * @param config the configuration
     * @return {@code INSTALLED} or {@code NOT_NEWER}
     */
    public synchronized Result install(MeshConfig config) {
        if (config.version() <= mCurrent.version()) {
            return Result.NOT_NEWER;
        }
        mHistory.addLast(config.snapshot());
        if (mHistory.size() > HISTORY) {
            mHistory.removeFirst();
        }
        mCurrent = config;
        return Result.INSTALLED;
    }

    /**
     * Installs a whole snapshot.
     *
     * @param snapshot the snapshot
     * @param peer where it came from
     * @return {@code INSTALLED} or {@code NOT_NEWER}
     * @throws ConfigException if it can't be used; the version in force stays
     */
    public synchronized Result install(ConfigSnapshot snapshot, String peer)
            throws ConfigException {
        if (snapshot.version() <= mCurrent.version()) {
            return Result.NOT_NEWER;
        }
        return install(MeshConfig.compile(snapshot, peer));
    }

    /**
     * Installs a delta.
     *
     * @param delta the delta
     * @param peer where it came from
     * @return what became of it; on {@code GAP} the whole snapshot is needed
     * @throws ConfigException if the result can't be used; the version in force stays
     */
    public synchronized Result install(ConfigDelta delta, String peer) throws ConfigException {
        if (delta.version() <= mCurrent.version()) {
            return Result.NOT_NEWER;
        }
        Optional<ConfigSnapshot> next = delta.applyTo(mCurrent.snapshot());
        if (next.isEmpty()) {
            return Result.GAP;
        }
        return install(next.get(), peer);
    }

    /**
     * Returns the change since an earlier version.
     *
     * @param fromVersion the version that the receiver has
     * @return the delta, or empty if the history does not reach back so far
     */
    public synchronized Optional<ConfigDelta> deltaSince(long fromVersion) {
        for (ConfigSnapshot snapshot : mHistory) {
            if (snapshot.version() == fromVersion) {
                return Optional.of(mCurrent.snapshot().since(snapshot));
            }
        }
        return Optional.empty();
    }
}
