package org.oriolewind.control;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.oriolewind.config.ConfigDelta;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.ConfigSnapshot;
import org.oriolewind.config.InstalledConfig;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.event.EventKind;
import org.oriolewind.wire.ConfigPull;
import org.oriolewind.wire.ConfigUpdate;

/**
 * Propagates configuration versions over the control links. A peer that is behind is sent a delta
 * if its version is still in the history, otherwise the full snapshot; a node that receives the
 * number of a newer version pulls it. Confined to the control thread.
 */
final class ConfigPropagator {
    /** Time after which an unanswered pull is retried. */
    private static final long PULL_RETRY_MILLIS = 1000;

    /** Length of the digest prefix that events carry. */
    private static final int DIGEST_PREFIX_CHARS = 12;

    private final ControlContext mContext;
    private final Runnable mOnInstalled;
    private long mNextPullMillis = Long.MIN_VALUE;

    ConfigPropagator(ControlContext context, Runnable onInstalled) {
        mContext = context;
        mOnInstalled = onInstalled;
    }

    /** Installs a version that was read from the platform's store. */
    void onStored(MeshConfig config) {
        if (mContext.mConfig.install(config) == InstalledConfig.Result.INSTALLED) {
            onInstalled("platform");
        }
    }

    void onUpdate(ControlLink link, ConfigUpdate update) {
        try {
            InstalledConfig.Result result = install(update, link.mNode);
            if (result == InstalledConfig.Result.INSTALLED) {
                onInstalled(link.mNode);
            } else if (result == InstalledConfig.Result.GAP) {
                recordRejected(link, update, "delta does not apply to the current version");
                pull(link, 0);
            }
        } catch (ConfigException e) {
            recordRejected(link, update, e.getMessage());
        }
    }

    private void recordRejected(ControlLink link, ConfigUpdate update, String reason) {
        mContext.record(EventKind.CONFIG_REFUSED, link.mNode, update.getVersion(), reason);
    }

    private InstalledConfig.Result install(ConfigUpdate update, String peer)
            throws ConfigException {
        String digest = update.getDigest().toStringUtf8();
        if (update.getFromVersion() == 0) {
            TreeMap<String, String> entries = new TreeMap<>(update.getPutsMap());
            return mContext.mConfig.install(
                    new ConfigSnapshot(update.getVersion(), entries, digest), peer);
        }
        return mContext.mConfig.install(
                new ConfigDelta(
                        update.getFromVersion(),
                        update.getVersion(),
                        update.getPutsMap(),
                        new TreeSet<>(update.getRemovesList()),
                        digest),
                peer);
    }

    private void onInstalled(String source) {
        mNextPullMillis = Long.MIN_VALUE;
        long version = mContext.mConfig.current().version();
        mContext.record(EventKind.CONFIG_APPLIED, source, version, describe());
        mContext.mLinks.all().forEach(this::pushIfBehind);
        mOnInstalled.run();
    }

    /** Describes the current version in an event, so that a trace can be checked against it. */
    private String describe() {
        MeshConfig config = mContext.mConfig.current();
        return String.format(
                "digest=%s unresolved=%d out=%s",
                config.snapshot().digest().substring(0, DIGEST_PREFIX_CHARS),
                config.unresolvedRoutes(),
                String.join(",", config.dataCentresOut()));
    }

    /**
     * Records the peer's version from a frame, and pulls it if it is newer than the current one.
     */
    void onPeerVersion(ControlLink link, long version) {
        link.mPeerConfigVersion = Math.max(link.mPeerConfigVersion, version);
        if (version > mContext.mConfig.current().version()) {
            pullIfDue(link);
        } else {
            pushIfBehind(link);
        }
    }

    private void pullIfDue(ControlLink link) {
        long now = mContext.nowMillis();
        if (now < mNextPullMillis) {
            return;
        }
        mNextPullMillis = now + PULL_RETRY_MILLIS;
        pull(link, mContext.mConfig.current().version());
    }

    private void pull(ControlLink link, long haveVersion) {
        mContext.mTransport.send(
                link.mId,
                mContext.frame()
                        .setConfigPull(ConfigPull.newBuilder().setHaveVersion(haveVersion))
                        .build());
    }

    void onPull(ControlLink link, ConfigPull pull) {
        link.mPeerConfigVersion = pull.getHaveVersion();
        pushIfBehind(link);
    }

    private void pushIfBehind(ControlLink link) {
        MeshConfig current = mContext.mConfig.current();
        if (link.mPeerConfigVersion >= current.version()) {
            return;
        }
        Optional<ConfigDelta> delta = mContext.mConfig.deltaSince(link.mPeerConfigVersion);
        ConfigUpdate update =
                delta.map(ConfigPropagator::toMessage)
                        .orElseGet(() -> toMessage(current.snapshot()));
        mContext.mTransport.send(link.mId, mContext.frame().setConfigUpdate(update).build());
        link.mPeerConfigVersion = current.version();
    }

    static ConfigUpdate toMessage(ConfigDelta delta) {
        return ConfigUpdate.newBuilder()
                .setFromVersion(delta.fromVersion())
                .setVersion(delta.version())
                .setDigest(ByteString.copyFromUtf8(delta.digest()))
                .putAllPuts(delta.puts())
                .addAllRemoves(delta.removes())
                .build();
    }

    static ConfigUpdate toMessage(ConfigSnapshot snapshot) {
        return ConfigUpdate.newBuilder()
                .setVersion(snapshot.version())
                .setDigest(ByteString.copyFromUtf8(snapshot.digest()))
                .putAllPuts(snapshot.entries())
                .build();
    }
}
