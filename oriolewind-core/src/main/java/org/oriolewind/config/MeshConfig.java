package org.oriolewind.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;

/**
 * A configuration version ready for use. Immutable and safe for use by several threads.
 *
 * <p>Invariant: every route names a service that is present, every share and every active move
 * names a version of its service, and the shares of a service add up to the whole.
 */
public final class MeshConfig {
    /** The configuration before any note was published. */
    public static final MeshConfig EMPTY = emptyConfig();

    private final ConfigSnapshot mSnapshot;
    private final ConfigEntries mEntries;
    private final List<RouteConfig> mRoutesByLength;
    private final Map<String, Move> mActiveMoves = new TreeMap<>();
    private final Map<String, Move> mLatestDone = new TreeMap<>();

    private MeshConfig(ConfigSnapshot snapshot, ConfigEntries entries) {
        mSnapshot = snapshot;
        mEntries = entries;
        mRoutesByLength = new ArrayList<>(entries.routes().values());
        mRoutesByLength.sort(Comparator.comparing((RouteConfig r) -> r.path().length()).reversed());
        for (Move move : entries.moves().values()) {
            if (move.phase().isActive()) {
                mActiveMoves.put(move.service(), move);
            } else if (move.phase() == MovePhase.DONE && canBeReverted(move)) {
                mLatestDone.merge(move.service(), move, MeshConfig::later);
            }
        }
    }

    /** A move can be reverted while the shares are still as it left them. */
    private boolean canBeReverted(Move move) {
        ServiceConfig service = mEntries.services().get(move.service());
        return service != null
                && service.sharesBps().containsKey(move.from())
                && Integer.valueOf(move.targetBps()).equals(service.sharesBps().get(move.to()));
    }

    private static Move later(Move one, Move other) {
        Instant oneEnd = one.endedAt().orElse(Instant.MIN);
        return other.endedAt().orElse(Instant.MIN).isAfter(oneEnd) ? other : one;
    }

    private static MeshConfig emptyConfig() {
        ConfigSnapshot snapshot = ConfigSnapshot.of(0, new TreeMap<>());
        return new MeshConfig(snapshot, new ConfigEntries());
    }

    /**
     * Checks a snapshot whole and makes it ready for use.
     *
     * @param snapshot the snapshot
     * @param peer where it came from, for the error
     * @return the configuration
     * @throws ConfigException if the digest differs, an entry can't be read or a reference does not
     *     resolve
     */
    public static MeshConfig compile(ConfigSnapshot snapshot, String peer) throws ConfigException {
        if (!snapshot.isIntact()) {
            throw new ConfigException(
                    peer, "digest of version " + snapshot.version() + " differs", null);
        }
        ConfigEntries entries = ConfigEntries.parse(snapshot.entries(), peer);
        entries.checkReferences(peer);
        return new MeshConfig(snapshot, entries);
    }

    /**
     * Returns the stored form.
     *
     * @return the snapshot
     */
    public ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    /**
     * Returns the configuration version.
     *
     * @return the version, 0 before any note
     */
    public long version() {
        return mSnapshot.version();
    }

    /**
     * Starts an edit of this configuration.
     *
     * @return a draft with the same content
     */
    public ConfigEntries edit() {
        return new ConfigEntries(mEntries);
    }

    /**
     * Finds the route for a path. The longest prefix wins.
     *
     * @param path the path of a call
     * @return the route, or empty if none covers the path
     */
    public Optional<RouteConfig> routeFor(String path) {
        for (RouteConfig route : mRoutesByLength) {
            if (route.covers(path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Counts the routes whose service is absent. The count is taken anew from what is in force, not
     * from the check that was made when the version was compiled.
     *
     * @return the number, 0 unless the invariant of this class is broken
     */
    public int unresolvedRoutes() {
        int unresolved = 0;
        for (RouteConfig route : mRoutesByLength) {
            if (service(route.service()).isEmpty()) {
                unresolved++;
            }
        }
        return unresolved;
    }

    /**
     * Finds a service.
     *
     * @param name the service's name
     * @return the service, or empty if there is none
     */
    public Optional<ServiceConfig> service(String name) {
        return Optional.ofNullable(mEntries.services().get(name));
    }

    /**
     * Returns the shares of a service's versions.
     *
     * @param service the service
     * @param now the present
     * @return basis points by version, which add up to the whole
     */
    public SortedMap<String, Integer> sharesAt(ServiceConfig service, Instant now) {
        Move move = mActiveMoves.get(service.name());
        if (move == null) {
            return service.sharesBps();
        }
        return service.with(move, now).sharesBps();
    }

    /**
     * Finds the move in progress of a service.
     *
     * @param service the service's name
     * @return the move, or empty if none is in progress
     */
    public Optional<Move> activeMove(String service) {
        return Optional.ofNullable(mActiveMoves.get(service));
    }

    /**
     * Returns the move of a service whose new version is under watch: the move in progress, or one
     * that ended well a short while ago.
     *
     * @param service the service's name
     * @param now the present
     * @return the move, or empty if no version is under watch
     */
    public Optional<Move> monitoredMove(String service, Instant now) {
        Move active = mActiveMoves.get(service);
        if (active != null) {
            return Optional.of(active);
        }
        return Optional.ofNullable(mLatestDone.get(service)).filter(m -> m.isMonitored(now));
    }

    /**
     * Returns all moves whose new versions are under watch, those in progress included.
     *
     * @param now the present
     * @return the moves, one a service at most
     */
    public List<Move> monitoredMoves(Instant now) {
        List<Move> moves = new ArrayList<>(mActiveMoves.values());
        mLatestDone.values().stream()
                .filter(m -> m.isMonitored(now) && !mActiveMoves.containsKey(m.service()))
                .forEach(moves::add);
        return moves;
    }

    /**
     * Returns all moves of the notes kept, ended ones included.
     *
     * @return the moves by id
     */
    public SortedMap<String, Move> moves() {
        return mEntries.moves();
    }

    /**
     * Returns the notes kept.
     *
     * @return the notes by id
     */
    public SortedMap<String, NoteRecord> notes() {
        return mEntries.notes();
    }

    /**
     * Returns the data centres that operators have taken out.
     *
     * @return the names
     */
    public SortedSet<String> dataCentresOut() {
        return mEntries.dataCentresOut();
    }

    /**
     * Returns the nodes that operators have told to drain.
     *
     * @return the node names
     */
    public SortedSet<String> drainedNodes() {
        return mEntries.drainedNodes();
    }

    /**
     * Returns the highest term of a rollout duty holder that has written a decision.
     *
     * @return the term, 0 if none has
     */
    public long rolloutTerm() {
        return mEntries.rolloutTerm();
    }
}
