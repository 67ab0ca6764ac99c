package org.oriolewind.routing;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** Chooses the version that takes a call, by the shares in force. Stateless. */
public final class VersionSelector {
    private VersionSelector() {}

    /**
     * Chooses a version at random, each with its share. Versions that can't be used give up their
     * share to the others in proportion.
     *
     * @param sharesBps basis points by version
     * @param usable whether a version can take the call
     * @param random source of choices
     * @return the version, or empty if none with a share is usable
     */
    public static Optional<String> choose(
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
