package org.oriolewind.config;

import java.util.ArrayDeque;
import java.util.Optional;

/**
 * The configuration in force at a node, with a short history from which deltas are served.
 *
 * <p>Invariant: the version never decreases, and each version in force was checked completely.
 * Reads are thread-safe; installations are serialized.
 */
public final class InstalledConfig {
    /** Number of versions kept for deltas. */
    private static final int MAX_HISTORY_VERSIONS = 32;

    /** Result of an installation. */
    public enum Result {
        /** The version is in force now. */
        INSTALLED,
        /** The version is not newer than the one in force. */
        NOT_NEWER,
        /** The delta applies to another version, or the digest of the result does not match. */
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
     * Installs a compiled configuration.
     *
     * @return {@code INSTALLED} or {@code NOT_NEWER}
     */
    public synchronized Result install(MeshConfig config) {
        if (config.version() <= mCurrent.version()) {
            return Result.NOT_NEWER;
        }
        mHistory.addLast(config.snapshot());
        if (mHistory.size() > MAX_HISTORY_VERSIONS) {
            mHistory.removeFirst();
        }
        mCurrent = config;
        return Result.INSTALLED;
    }

    /**
     * Checks and installs a snapshot.
     *
     * @param peer the sender, for the error message
     * @return {@code INSTALLED} or {@code NOT_NEWER}
     * @throws ConfigException if it is not valid; the version in force is kept
     */
    public synchronized Result install(ConfigSnapshot snapshot, String peer)
            throws ConfigException {
        if (snapshot.version() <= mCurrent.version()) {
            return Result.NOT_NEWER;
        }
        return install(MeshConfig.compile(snapshot, peer));
    }

    /**
     * Applies a delta to the version in force and installs the result.
     *
     * @param peer the node that sent it, for the error message
     * @return the result; after {@code GAP} the complete snapshot has to be requested
     * @throws ConfigException if the result is not valid; the version in force is kept
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
     * @return the delta, empty if the history doesn't contain that version
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
