package org.oriolewind.cli.replay;

import java.util.List;

/** What must always hold, one check each. Stateless. */
public enum Invariant {
    /** No proxy ever goes back to an older configuration version. */
    VERSION_NEVER_BACK("no proxy goes back to an older configuration version") {
        @Override
        public List<Violation> check(Trace trace) {
            return ConfigChecks.checkVersionIncreases(trace);
        }
    },
    /** No route on any proxy points at a resource that proxy lacks. */
    ROUTES_RESOLVE("no route points at a resource that the proxy lacks") {
        @Override
        public List<Violation> check(Trace trace) {
            return ConfigChecks.checkRoutesResolved(trace);
        }
    },
    /** A bad version is never applied in part. */
    APPLIED_WHOLE("no version is applied in part") {
        @Override
        public List<Violation> check(Trace trace) {
            return ConfigChecks.checkSameContent(trace);
        }
    },
    /** A bad backend server version gets only a small share, and none soon after its fault. */
    BAD_VERSION_STOPPED("a bad version gets a small share and soon none") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkRolledBackVersions(trace);
        }
    },
    /** A backend server in cold start gets no more load than it bears. */
    COLD_START_SPARED("a backend server in cold start gets no more than it bears") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkSlowStartLimit(trace);
        }
    },
    /** A data centre taken out gets no new work after a few seconds. */
    DATA_CENTRE_OUT("a data centre taken out gets no new work after a few seconds") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkDataCentresOut(trace);
        }
    },
    /** Callers get the whole answer to their own request. */
    OWN_ANSWER("callers get the whole answer to their own request, once") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkAnswers(trace);
        }
    },
    /** A refusal that says a request was not run is true. */
    REFUSAL_TRUE("a refusal that says not run is true") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkRefusals(trace);
        }
    },
    /** What is not idempotent runs at most once. */
    AT_MOST_ONCE("what is not idempotent runs at most once") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkAtMostOnce(trace);
        }
    },
    /** A leaving backend server gets no new work after a few seconds. */
    LEAVING_SPARED("a leaving backend server gets no new work after a few seconds") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkLeavingNodes(trace);
        }
    },
    /** A graceful shutdown cuts no request. */
    SHUTDOWN_CUTS_NONE("a graceful shutdown cuts no request") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkShutdown(trace);
        }
    },
    /** An accepted configuration is in force everywhere within seconds. */
    IN_FORCE_SOON("an accepted configuration is in force everywhere within seconds") {
        @Override
        public List<Violation> check(Trace trace) {
            return ConfigChecks.checkPropagation(trace);
        }
    };

    private final String mTitle;

    Invariant(String title) {
        mTitle = title;
    }

    /**
     * Returns the promise for a person.
     *
     * @return the name of the check and what it tests
     */
    public String title() {
        return name().toLowerCase().replace('_', '-') + " (" + mTitle + ")";
    }

    /**
     * Checks a trace.
     *
     * @param trace the trace
     * @return the events that break the promise
     */
    public abstract List<Violation> check(Trace trace);
}
