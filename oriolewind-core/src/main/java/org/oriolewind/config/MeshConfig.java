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
 * A checked configuration version with indexes for lookups. Immutable and thread-safe.
 *
 * <p>Invariant: every route names a service that is present, every share and every active move
 * names a version of its service, and the shares of a service add up to 100%.
 */
public final class MeshConfig {
    /** The configuration before the first note is published, version 0. */
    public static final MeshConfig EMPTY = emptyConfig();

    private final ConfigSnapshot mSnapshot;
    private final ConfigEntries mEntries;
    private final List<RouteConfig> mRoutesByLength;
    private final Map<String, Move> mActiveMoves = new TreeMap<>();
    private final Map<String, Move> mLatestCompletedMoves = new TreeMap<>();

    private MeshConfig(ConfigSnapshot snapshot, ConfigEntries entries) {
        mSnapshot = snapshot;
        mEntries = entries;
        mRoutesByLength = new ArrayList<>(entries.routes().values());
        mRoutesByLength.sort(Comparator.comparing((RouteConfig r) -> r.path().length()).reversed());
        for (Move move : entries.moves().values()) {
            if (move.phase().isActive()) {
                mActiveMoves.put(move.service(), move);
            } else if (move.phase() == MovePhase.DONE && canBeRolledBack(move)) {
                mLatestCompletedMoves.merge(move.service(), move, MeshConfig::laterEnded);
            }
        }
    }

    /** Returns whether the shares are still those that an ended move has set. */
    private boolean canBeRolledBack(Move move) {
        ServiceConfig service = mEntries.services().get(move.service());
        return service != null
                && service.sharesBps().containsKey(move.from())
                && Integer.valueOf(move.targetBps()).equals(service.sharesBps().get(move.to()));
    }

    private static Move laterEnded(Move one, Move other) {
        Instant oneEnd = one.endedAt().orElse(Instant.MIN);
        return other.endedAt().orElse(Instant.MIN).isAfter(oneEnd) ? other : one;
    }

    private static MeshConfig emptyConfig() {
        ConfigSnapshot snapshot = ConfigSnapshot.of(0, new TreeMap<>());
        return new MeshConfig(snapshot, new ConfigEntries());
    }

    /**
     * Checks a complete snapshot and builds the configuration from it.
     *
     * @param peer the sender, for the error message
     * @throws ConfigException if the digest does not match, an entry can't be read or a reference
     *     does not resolve
     */
    public static MeshConfig compile(ConfigSnapshot snapshot, String peer) throws ConfigException {
        if (!snapshot.isIntact()) {
            throw new ConfigException(
                    peer, "digest of version " + snapshot.version() + " does not match", null);
        }
        ConfigEntries entries = ConfigEntries.parse(snapshot.entries(), peer);
        entries.checkReferences(peer);
        return new MeshConfig(snapshot, entries);
    }

    /** Returns the stored form of this configuration. */
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
     * Returns a draft for an edit of this configuration.
     *
     * @return a copy of the entries; changes do not affect this configuration
     */
    public ConfigEntries edit() {
        return new ConfigEntries(mEntries);
    }

    /**
     * Finds the route with the longest prefix of a path.
     *
     * @param path the path of a call
     * @return the route, empty if none matches the path
     */
    public Optional<RouteConfig> routeFor(String path) {
        for (RouteConfig route : mRoutesByLength) {
            if (route.matches(path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Counts the routes whose service is absent. The count is computed from the indexes in use, not
     * taken from the check that was made when the version was compiled.
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
     * Finds a service by name.
     *
     * @param name the service's name
     * @return the service, or empty if there is none
     */
    public Optional<ServiceConfig> service(String name) {
        return Optional.ofNullable(mEntries.services().get(name));
    }

    /**
     * Returns the shares of a service's versions, with the move in progress applied.
     *
     * @return basis points by version, which add up to {@link BasisPoints#FULL_SHARE_BPS}
     */
    public SortedMap<String, Integer> sharesAt(ServiceConfig service, Instant now) {
        Move move = mActiveMoves.get(service.name());
        if (move == null) {
            return service.sharesBps();
        }
        return service.with(move, now).sharesBps();
    }

    /**
     * Finds the active move of a service.
     *
     * @param service the service's name
     * @return the move, empty if none is in progress
     */
    public Optional<Move> activeMove(String service) {
        return Optional.ofNullable(mActiveMoves.get(service));
    }

    /**
     * Returns the monitored move of a service: the move in progress, or one that was completed less
     * than {@link Move#MONITORING_PERIOD} ago.
     *
     * @param service the service's name
     * @return the move, empty if there is none
     */
    public Optional<Move> monitoredMove(String service, Instant now) {
        Move active = mActiveMoves.get(service);
        if (active != null) {
            return Optional.of(active);
        }
        return Optional.ofNullable(mLatestCompletedMoves.get(service))
                .filter(m -> m.isMonitored(now));
    }

    /**
     * Returns all monitored moves, those in progress included.
     *
     * @return the moves, at most one for each service
     */
    public List<Move> monitoredMoves(Instant now) {
        List<Move> moves = new ArrayList<>(mActiveMoves.values());
        mLatestCompletedMoves.values().stream()
                .filter(m -> m.isMonitored(now) && !mActiveMoves.containsKey(m.service()))
                .forEach(moves::add);
        return moves;
    }

    /** Returns the moves of all notes in the head by ID, ended ones included. */
    public SortedMap<String, Move> moves() {
        return mEntries.moves();
    }

    /** Returns the notes in the head by ID, archived ones not included. */
    public SortedMap<String, NoteRecord> notes() {
        return mEntries.notes();
    }

    /** Returns the names of the data centres that operators have taken out of service. */
    public SortedSet<String> dataCentresOut() {
        return mEntries.dataCentresOut();
    }

    /** Returns the names of the nodes that operators drain. */
    public SortedSet<String> drainedNodes() {
        return mEntries.drainedNodes();
    }

    /**
     * Returns the highest term of a leader that has written a decision about a move.
     *
     * @return the term, 0 if no leader has
     */
    public long rolloutTerm() {
        return mEntries.rolloutTerm();
    }
}
