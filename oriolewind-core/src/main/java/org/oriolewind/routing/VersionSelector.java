package org.oriolewind.routing;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** Selects the version that takes a call by the traffic shares in force. Stateless. */
public final class VersionSelector {
    private VersionSelector() {}

    /**
     * Selects a version at random, weighted by its share. The shares of unusable versions are
     * distributed over the others in proportion.
     *
     * @param sharesBps share of each version in basis points
     * @param usable whether a version has a node that can take the call
     * @param random source of random choices
     * @return the version, or empty if no version with a share above 0 is usable
     */
    public static Optional<String> select(
            SortedMap<String, Integer> sharesBps,
            Predicate<String> usable,
            RandomGenerator random) {
        int total = 0;
        for (Map.Entry<String, Integer> share : sharesBps.entrySet()) {
            if (share.getValue() > 0 && usable.test(share.getKey())) {
                total += share.getValue();
            }
        }
        if (total == 0) {
            return Optional.empty();
        }
        int point = random.nextInt(total);
        for (Map.Entry<String, Integer> share : sharesBps.entrySet()) {
            if (share.getValue() > 0 && usable.test(share.getKey())) {
                point -= share.getValue();
                if (point < 0) {
                    return Optional.of(share.getKey());
                }
            }
        }
        return Optional.empty();
    }
}
