package org.oriolewind.loadbalancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.policy.TrafficRoute;
import org.oriolewind.policy.WeightedService;

/**
 * Splits the requests of a route between its services by weight, evenly over time. Not thread-safe.
 */
public final class WeightedServiceSelector {
    private final Map<String, WeightedRoundRobin> mRoundRobins = new HashMap<>();

    /** Smooth weighted round robin: selects the service that is furthest behind its share. */
    private static final class WeightedRoundRobin {
        final List<WeightedService> mServices;
        final long[] mCredits;

        WeightedRoundRobin(List<WeightedService> services) {
            mServices = services;
            mCredits = new long[services.size()];
        }

        String next() {
            long total = 0;
            int best = 0;
            for (int i = 0; i < mCredits.length; i++) {
                mCredits[i] += mServices.get(i).weight();
                total += mServices.get(i).weight();
                if (mCredits[i] > mCredits[best]) {
                    best = i;
                }
            }
            mCredits[best] -= total;
            return mServices.get(best).service();
        }
    }

    /**
     * Selects the service of the next request.
     *
     * @param route the request's route
     * @return the service's name
     */
    public String select(TrafficRoute route) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        WeightedRoundRobin roundRobin = mRoundRobins.get(route.name());
        if (roundRobin == null || !roundRobin.mServices.equals(route.services())) {
            roundRobin = new WeightedRoundRobin(route.services());
            mRoundRobins.put(route.name(), roundRobin);
        }
        return roundRobin.next();
    }
}
