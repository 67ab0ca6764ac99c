package org.oriolewind.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/** The typed entries of a configuration while a version is read or edited. Not thread-safe. */
public final class ConfigEntries {
    private static final String SERVICE = "service/";
    private static final String ROUTE = "route/";
    private static final String MOVE = "move/";
    private static final String NOTE = "note/";
    private static final String OUT = "out/";
    private static final String DRAIN = "drain/";
    private static final String ROLLOUT_TERM = "duty/rollout";
    private static final String SET_MEMBER = "true";

    private final TreeMap<String, ServiceConfig> mServices = new TreeMap<>();
    private final TreeMap<String, RouteConfig> mRoutes = new TreeMap<>();
    private final TreeMap<String, Move> mMoves = new TreeMap<>();
    private final TreeMap<String, NoteRecord> mNotes = new TreeMap<>();
    private final TreeSet<String> mDataCentresOut = new TreeSet<>();
    private final TreeSet<String> mDrainedNodes = new TreeSet<>();
    private long mRolloutTerm;

    ConfigEntries() {}

    ConfigEntries(ConfigEntries other) {
        mServices.putAll(other.mServices);
        mRoutes.putAll(other.mRoutes);
        mMoves.putAll(other.mMoves);
        mNotes.putAll(other.mNotes);
        mDataCentresOut.addAll(other.mDataCentresOut);
        mDrainedNodes.addAll(other.mDrainedNodes);
        mRolloutTerm = other.mRolloutTerm;
    }

    static ConfigEntries parse(Map<String, String> stored, String peer) throws ConfigException {
        ConfigEntries entries = new ConfigEntries();
        for (Map.Entry<String, String> entry : stored.entrySet()) {
            try {
                entries.read(entry.getKey(), entry.getValue());
            } catch (JsonProcessingException e) {
                throw new ConfigException(peer, "entry " + entry.getKey() + " cannot be read", e);
            }
        }
        return entries;
    }

    private void read(String key, String json) throws JsonProcessingException {
        String name = key.substring(key.indexOf('/') + 1);
        if (key.startsWith(SERVICE)) {
            mServices.put(name, JsonFormat.mapper().readValue(json, ServiceConfig.class));
        } else if (key.startsWith(ROUTE)) {
            mRoutes.put(name, JsonFormat.mapper().readValue(json, RouteConfig.class));
        } else if (key.startsWith(MOVE)) {
            mMoves.put(name, JsonFormat.mapper().readValue(json, Move.class));
        } else if (key.startsWith(NOTE)) {
            mNotes.put(name, JsonFormat.mapper().readValue(json, NoteRecord.class));
        } else if (key.startsWith(OUT)) {
            mDataCentresOut.add(name);
        } else if (key.startsWith(DRAIN)) {
            mDrainedNodes.add(name);
        } else if (key.equals(ROLLOUT_TERM)) {
            mRolloutTerm = JsonFormat.mapper().readValue(json, Long.class);
        }
    }

    void checkReferences(String peer) throws ConfigException {
        for (RouteConfig route : mRoutes.values()) {
            if (!mServices.containsKey(route.service())) {
                throw new ConfigException(
                        peer, "route " + route.name() + " needs service " + route.service(), null);
            }
        }
        for (ServiceConfig service : mServices.values()) {
            int sum = service.sharesBps().values().stream().mapToInt(Integer::intValue).sum();
            if (sum != BasisPoints.FULL_SHARE_BPS) {
                throw new ConfigException(
                        peer, "shares of " + service.name() + " add up to " + sum, null);
            }
        }
        for (Move move : mMoves.values()) {
            if (move.phase().isActive()) {
                checkMove(move, peer);
            }
        }
    }

    private void checkMove(Move move, String peer) throws ConfigException {
        ServiceConfig service = mServices.get(move.service());
        boolean resolves =
                service != null
                        && service.sharesBps().containsKey(move.from())
                        && service.sharesBps().containsKey(move.to());
        if (!resolves) {
            throw new ConfigException(
                    peer, "move " + move.id() + " names an unknown version", null);
        }
    }

    /**
     * Builds a configuration from these entries.
     *
     * @param version the new configuration version
     * @throws ConfigException if a reference between entries does not resolve
     */
    public MeshConfig build(long version) throws ConfigException {
        TreeMap<String, String> stored = new TreeMap<>();
        try {
            storeAll(SERVICE, mServices, stored);
            storeAll(ROUTE, mRoutes, stored);
            storeAll(MOVE, mMoves, stored);
            storeAll(NOTE, mNotes, stored);
            if (mRolloutTerm > 0) {
                stored.put(ROLLOUT_TERM, Long.toString(mRolloutTerm));
            }
        } catch (JsonProcessingException e) {
            throw new ConfigException("local", "entries cannot be written", e);
        }
        mDataCentresOut.forEach(name -> stored.put(OUT + name, SET_MEMBER));
        mDrainedNodes.forEach(name -> stored.put(DRAIN + name, SET_MEMBER));
        return MeshConfig.compile(ConfigSnapshot.of(version, stored), "local");
    }

    private static void storeAll(String prefix, Map<String, ?> values, Map<String, String> stored)
            throws JsonProcessingException {
        for (Map.Entry<String, ?> entry : values.entrySet()) {
            stored.put(
                    prefix + entry.getKey(),
                    JsonFormat.mapper().writeValueAsString(entry.getValue()));
        }
    }

    /** Returns the services by name; changes of the map apply to this object. */
    public SortedMap<String, ServiceConfig> services() {
        return mServices;
    }

    /** Returns the routes by name; changes of the map apply to this object. */
    public SortedMap<String, RouteConfig> routes() {
        return mRoutes;
    }

    /** Returns the moves by ID; changes of the map apply to this object. */
    public SortedMap<String, Move> moves() {
        return mMoves;
    }

    /** Returns the notes in the head by ID; changes of the map apply to this object. */
    public SortedMap<String, NoteRecord> notes() {
        return mNotes;
    }

    /**
     * Returns the names of the data centres that operators have taken out of service; changes of
     * the set apply to this object.
     */
    public SortedSet<String> dataCentresOut() {
        return mDataCentresOut;
    }

    /**
     * Returns the names of the nodes that operators drain; changes of the set apply to this object.
     */
    public SortedSet<String> drainedNodes() {
        return mDrainedNodes;
    }

    /**
     * Returns the highest term of a leader that has written a decision about a move.
     *
     * @return the term, 0 if no leader has
     */
    public long rolloutTerm() {
        return mRolloutTerm;
    }

    /**
     * Sets the term of the leader that writes this version.
     *
     * @param term the term of its lease, greater than 0
     */
    public void setRolloutTerm(long term) {
        mRolloutTerm = term;
    }
}
