package org.oriolewind.loadbalancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.policy.TrafficRoute;
import org.oriolewind.policy.WeightedService;

/**
 * Deals the requests of a route to its parts by their weights, evenly over time. Not safe for use
 * by several threads.
 */
public final class WeightedServiceSelector {
    private final Map<String, Dealer> mDealers = new HashMap<>();

    /** Deals to the part that is furthest behind its share. */
    private static final class Dealer {
        final List<WeightedService> mParts;
        final long[] mCredits;

        Dealer(List<WeightedService> parts) {
            mParts = parts;
            mCredits = new long[parts.size()];
        }

        String next() {
            long total = 0;
            int best = 0;
            for (int i = 0; i < mCredits.length; i++) {
                mCredits[i] += mParts.get(i).weight();
                total += mParts.get(i).weight();
                if (mCredits[i] > mCredits[best]) {
                    best = i;
                }
            }
            mCredits[best] -= total;
            return mParts.get(best).service();
        }
    }

    /**
     * Chooses the service of a request.
     *
     * @param route its route
     * @return the service
     */
    public String choose(TrafficRoute route) {
        if (route.parts().size() == 1) {
            return route.parts().get(0).service();
        }
        Dealer dealer = mDealers.get(route.name());
        if (dealer == null || !dealer.mParts.equals(route.parts())) {
            dealer = new Dealer(route.parts());
            mDealers.put(route.name(), dealer);
        }
        return dealer.next();
    }
}
