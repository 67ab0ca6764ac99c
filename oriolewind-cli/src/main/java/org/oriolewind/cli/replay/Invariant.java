package org.oriolewind.cli.replay;

import java.util.List;

/**
 * Properties that must hold in every trace, each with its own check. The names of the constants are
 * part of the output of {@code oriolewind replay}. Stateless.
 */
public enum Invariant {
    /** The configuration version of a node never decreases. */
    VERSION_NEVER_BACK("no proxy goes back to an older configuration version") {
        @Override
        public List<Violation> check(Trace trace) {
            return ConfigChecks.checkVersionIncreases(trace);
        }
    },
    /** A node can resolve every route of the configuration that it applied. */
    ROUTES_RESOLVE("no route points at a resource that the proxy lacks") {
        @Override
        public List<Violation> check(Trace trace) {
            return ConfigChecks.checkRoutesResolved(trace);
        }
    },
    /**
     * A configuration version is applied completely or not at all: all nodes that apply it have the
     * same content digest.
     */
    APPLIED_WHOLE("no version is applied in part") {
        @Override
        public List<Violation> check(Trace trace) {
            return ConfigChecks.checkSameContent(trace);
        }
    },
    /**
     * A backend server version that is rolled back got only a small share of the calls, and gets
     * none a few seconds after the decision.
     */
    BAD_VERSION_STOPPED("a bad version gets a small share and soon none") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkRolledBackVersions(trace);
        }
    },
    /** The calls in flight at a backend server in cold start stay within its slow start limit. */
    COLD_START_SPARED("a backend server in cold start gets no more than it bears") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkSlowStartLimit(trace);
        }
    },
    /** A data centre that was taken out gets no new calls after a few seconds. */
    DATA_CENTRE_OUT("a data centre taken out gets no new work after a few seconds") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkDataCentresOut(trace);
        }
    },
    /** A call ends at most once, and only with an answer if it was forwarded. */
    OWN_ANSWER("callers get the whole answer to their own request, once") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkAnswers(trace);
        }
    },
    /** A non-idempotent call that is refused as not run was not run by any backend server. */
    REFUSAL_TRUE("a refusal that says not run is true") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkRefusals(trace);
        }
    },
    /** A non-idempotent call runs at most once. */
    AT_MOST_ONCE("what is not idempotent runs at most once") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkAtMostOnce(trace);
        }
    },
    /** A node that is draining gets no new calls after a few seconds. */
    LEAVING_SPARED("a leaving backend server gets no new work after a few seconds") {
        @Override
        public List<Violation> check(Trace trace) {
            return TrafficChecks.checkLeavingNodes(trace);
        }
    },
    /** A graceful shutdown aborts no call: none is open when the node stops. */
    SHUTDOWN_CUTS_NONE("a graceful shutdown cuts no request") {
        @Override
        public List<Violation> check(Trace trace) {
            return CallChecks.checkShutdown(trace);
        }
    },
    /** A configuration version is in force at every running node within a few seconds. */
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

    /** Returns the name in lower case with dashes, then the description in parentheses. */
    public String title() {
        return name().toLowerCase().replace('_', '-') + " (" + mTitle + ")";
    }

    /**
     * Checks all events of a trace.
     *
     * @param trace the trace of all processes
     * @return the violations, empty if the invariant holds
     */
    public abstract List<Violation> check(Trace trace);
}
