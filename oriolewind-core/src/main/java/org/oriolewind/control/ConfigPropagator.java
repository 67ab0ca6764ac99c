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
 * Spreads configuration versions over the control links: a delta where the receiver's version is in
 * the history, else the whole snapshot; whoever is behind asks. Belongs to the control thread.
 */
final class ConfigPropagator {
    /** Time after which an unanswered pull is repeated. */
    private static final long PULL_RETRY_MILLIS = 1000;

    /** Digits of the digest in events. */
    private static final int DIGEST_CHARS = 12;

    private final ControlContext mContext;
    private final Runnable mOnInstalled;
    private long mPullUntilMillis = Long.MIN_VALUE;

    ConfigPropagator(ControlContext context, Runnable onInstalled) {
        mContext = context;
        mOnInstalled = onInstalled;
    }

    /** Takes a version that came from the platform. */
    void onStored(MeshConfig config) {
        if (mContext.mConfig.install(config) == InstalledConfig.Result.INSTALLED) {
            installed("platform");
        }
    }

    void onUpdate(ControlLink link, ConfigUpdate update) {
        try {
            InstalledConfig.Result result = install(update, link.mNode);
            if (result == InstalledConfig.Result.INSTALLED) {
                installed(link.mNode);
            } else if (result == InstalledConfig.Result.GAP) {
                refuse(link, update, "delta does not fit the version in force");
                pull(link, 0);
            }
        } catch (ConfigException e) {
            refuse(link, update, e.getMessage());
        }
    }

    private void refuse(ControlLink link, ConfigUpdate update, String reason) {
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

    private void installed(String source) {
        mPullUntilMillis = Long.MIN_VALUE;
        long version = mContext.mConfig.current().version();
        mContext.record(EventKind.CONFIG_APPLIED, source, version, describe());
        mContext.mLinks.all().forEach(this::pushIfBehind);
        mOnInstalled.run();
    }

    /** Describes the version in force so that a trace can be checked against it. */
    private String describe() {
        MeshConfig config = mContext.mConfig.current();
        return String.format(
                "digest=%s unresolved=%d out=%s",
                config.snapshot().digest().substring(0, DIGEST_CHARS),
                config.unresolvedRoutes(),
                String.join(",", config.dataCentresOut()));
    }

    /** Learns the peer's version from a frame, and asks for it if it is newer. */
    void onVersionHeard(ControlLink link, long version) {
        link.mPeerVersion = Math.max(link.mPeerVersion, version);
        if (version > mContext.mConfig.current().version()) {
            pullOnce(link);
        } else {
            pushIfBehind(link);
        }
    }

    private void pullOnce(ControlLink link) {
        long now = mContext.nowMillis();
        if (now < mPullUntilMillis) {
            return;
        }
        mPullUntilMillis = now + PULL_RETRY_MILLIS;
        pull(link, mContext.mConfig.current().version());
    }

    private void pull(ControlLink link, long haveVersion) {
        mContext.mPort.send(
                link.mId,
                mContext.frame()
                        .setConfigPull(ConfigPull.newBuilder().setHaveVersion(haveVersion))
                        .build());
    }

    void onPull(ControlLink link, ConfigPull pull) {
        link.mPeerVersion = pull.getHaveVersion();
        pushIfBehind(link);
    }

    private void pushIfBehind(ControlLink link) {
        MeshConfig current = mContext.mConfig.current();
        if (link.mPeerVersion >= current.version()) {
            return;
        }
        Optional<ConfigDelta> delta = mContext.mConfig.deltaSince(link.mPeerVersion);
        ConfigUpdate update =
                delta.map(ConfigPropagator::toMessage)
                        .orElseGet(() -> toMessage(current.snapshot()));
        mContext.mPort.send(link.mId, mContext.frame().setConfigUpdate(update).build());
        link.mPeerVersion = current.version();
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
