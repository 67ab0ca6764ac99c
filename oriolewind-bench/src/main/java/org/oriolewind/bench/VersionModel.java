package org.oriolewind.bench;

/** Kinds of new versions in the rollout experiment. Stateless. */
enum VersionModel {
    /** As good as the old version. */
    GOOD(false),
    /** Good, but each instance is three times slower for its first ten seconds. */
    GOOD_COLD(false) {
        @Override
        double latencyFactor(CallContext context) {
            return context.secondsSinceStart() < 10 ? 3 : 1;
        }
    },
    /** Good, while both versions fail one call in five for ten seconds. */
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
    /** Is three times slower. */
    SLOW(true) {
        @Override
        double latencyFactor(CallContext context) {
            return 3;
        }
    },
    /** Fails half of the calls from 40 seconds on. */
    FAILS_LATER(true) {
        @Override
        double failureShare(CallContext context) {
            return context.secondsSinceStart() > 40 ? 0.5 : 0;
        }
    },
    /** Fails half of the calls from 60 seconds after the move was done. */
    FAILS_AFTER_DONE(true) {
        @Override
        double failureShare(CallContext context) {
            return context.secondsSinceDone() > 60 ? 0.5 : 0;
        }
    },
    /** Is three times slower from 60 seconds after the move was done. */
    SLOW_AFTER_DONE(true) {
        @Override
        double latencyFactor(CallContext context) {
            return context.secondsSinceDone() > 60 ? 3 : 1;
        }
    },
    /** Is four times slower when it carries over 30% of the traffic. */
    SLOW_UNDER_LOAD(true) {
        @Override
        double latencyFactor(CallContext context) {
            return context.share() > 0.3 ? 4 : 1;
        }
    },
    /** Fails half of the calls when it carries over 30% of the traffic. */
    FAILS_UNDER_LOAD(true) {
        @Override
        double failureShare(CallContext context) {
            return context.share() > 0.3 ? 0.5 : 0;
        }
    },
    /** Fails every call on a route with a tenth of the traffic. */
    FAILS_ON_ONE_ROUTE(true) {
        @Override
        double failureShare(CallContext context) {
            return context.route() == 1 ? 1 : 0;
        }
    },
    /** Fails half of the calls on a route with a fiftieth of the traffic. */
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

    /** When and where a call runs. */
    record CallContext(
            double secondsSinceStart, double secondsSinceDone, double share, int route) {}

    boolean isBad() {
        return mBad;
    }

    /** Returns the share of the new version's calls that fail. */
    double failureShare(CallContext context) {
        return 0;
    }

    /** Returns how many times longer the new version's calls take. */
    double latencyFactor(CallContext context) {
        return 1;
    }

    /** Returns the share of calls that fail with both versions. */
    double bothVersionsFailureShare(CallContext context) {
        return 0;
    }
}
