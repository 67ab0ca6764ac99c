package org.oriolewind.bench;

/**
 * Models of new versions for the rollout simulation: three good ones, which must not be rolled
 * back, and bad ones with the failures or latency they add. Stateless.
 */
enum VersionModel {
    /** No difference to the old version. */
    GOOD(false),
    /** Good, but three times slower for 10 s after its first call, in its cold start. */
    GOOD_COLD(false) {
        @Override
        double latencyFactor(CallContext context) {
            return context.secondsSinceStart() < 10 ? 3 : 1;
        }
    },
    /** Good, but both versions fail one call in five from 8 to 18 s after its first call. */
    GOOD_SHARED_TROUBLE(false) {
        @Override
        double bothVersionsFailureShare(CallContext context) {
            double second = context.secondsSinceStart();
            return second > 8 && second < 18 ? 0.2 : 0;
        }
    },
    /** Fails every call. */
    FAILS(true) {
        @Override
        double failureShare(CallContext context) {
            return 1;
        }
    },
    /** Fails one call in five. */
    FAILS_FIFTH(true) {
        @Override
        double failureShare(CallContext context) {
            return 0.2;
        }
    },
    /** Fails one call in ten. */
    FAILS_TENTH(true) {
        @Override
        double failureShare(CallContext context) {
            return 0.1;
        }
    },
    /** Three times slower. */
    SLOW(true) {
        @Override
        double latencyFactor(CallContext context) {
            return 3;
        }
    },
    /** Fails half of the calls from 40 seconds after its first call. */
    FAILS_LATER(true) {
        @Override
        double failureShare(CallContext context) {
            return context.secondsSinceStart() > 40 ? 0.5 : 0;
        }
    },
    /** Fails half of the calls from 60 seconds after the rollout was complete. */
    FAILS_AFTER_DONE(true) {
        @Override
        double failureShare(CallContext context) {
            return context.secondsSinceDone() > 60 ? 0.5 : 0;
        }
    },
    /** Three times slower from 60 seconds after the rollout was complete. */
    SLOW_AFTER_DONE(true) {
        @Override
        double latencyFactor(CallContext context) {
            return context.secondsSinceDone() > 60 ? 3 : 1;
        }
    },
    /** Four times slower when it gets over 30% of the traffic. */
    SLOW_UNDER_LOAD(true) {
        @Override
        double latencyFactor(CallContext context) {
            return context.share() > 0.3 ? 4 : 1;
        }
    },
    /** Fails half of the calls when it gets over 30% of the traffic. */
    FAILS_UNDER_LOAD(true) {
        @Override
        double failureShare(CallContext context) {
            return context.share() > 0.3 ? 0.5 : 0;
        }
    },
    /** Fails every call on a route that has 10% of the traffic. */
    FAILS_ON_ONE_ROUTE(true) {
        @Override
        double failureShare(CallContext context) {
            return context.route() == 1 ? 1 : 0;
        }
    },
    /** Fails half of the calls on a route that has 2% of the traffic. */
    FAILS_ON_RARE_ROUTE(true) {
        @Override
        double failureShare(CallContext context) {
            return context.route() == 2 ? 0.5 : 0;
        }
    };

    private final boolean mBad;

    VersionModel(boolean bad) {
        mBad = bad;
    }

    /**
     * The circumstances of a call.
     *
     * @param secondsSinceStart time since the new version's first call; 0 before it
     * @param secondsSinceDone time since the rollout was complete; -1 before
     * @param share the new version's share of the traffic, 0 to 1
     * @param route index of the call's route
     */
    record CallContext(
            double secondsSinceStart, double secondsSinceDone, double share, int route) {}

    boolean isBad() {
        return mBad;
    }

    /** Returns the share of the new version's calls that fail through its own fault, 0 to 1. */
    double failureShare(CallContext context) {
        return 0;
    }

    /** Returns the factor by which the new version's calls take longer; 1 if they don't. */
    double latencyFactor(CallContext context) {
        return 1;
    }

    /** Returns the additional share of calls that fail with either version, 0 to 1. */
    double bothVersionsFailureShare(CallContext context) {
        return 0;
    }
}
