package org.oriolewind.config;

import java.time.Instant;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A service and the shares of its versions, without the effect of a move in progress. Immutable.
 *
 * @param name the service's name
 * @param sharesBps basis points of the traffic by version; they add up to {@link
 *     BasisPoints#FULL_SHARE_BPS}
 */
public record ServiceConfig(String name, SortedMap<String, Integer> sharesBps) {
    /** Copies the map of shares. */
    public ServiceConfig {
        sharesBps = Collections.unmodifiableSortedMap(new TreeMap<>(sharesBps));
    }

    /**
     * Returns a copy with another share for one version.
     *
     * @param version the version's name, which may be new
     * @param shareBps the share of this version in basis points; the others are not adjusted
     */
    public ServiceConfig withShare(String version, int shareBps) {
        TreeMap<String, Integer> shares = new TreeMap<>(sharesBps);
        shares.put(version, shareBps);
        return new ServiceConfig(name, shares);
    }

    /**
     * Returns a copy with the shares that result from a move at an instant.
     *
     * @param move a move of this service
     */
    public ServiceConfig with(Move move, Instant now) {
        int toBps = move.shareAt(now);
        int pairBps = sharesBps.get(move.from()) + sharesBps.get(move.to());
        return withShare(move.to(), toBps).withShare(move.from(), pairBps - toBps);
    }

    /**
     * Returns a copy without a version.
     *
     * @param version the version's name
     */
    public ServiceConfig without(String version) {
        TreeMap<String, Integer> shares = new TreeMap<>(sharesBps);
        shares.remove(version);
        return new ServiceConfig(name, shares);
    }
}
