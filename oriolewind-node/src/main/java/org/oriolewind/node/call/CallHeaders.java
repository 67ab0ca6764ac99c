package org.oriolewind.node.call;

/** Headers of callers, backend servers and the system. Stateless. */
public final class CallHeaders {
    /** Time left until the deadline, in milliseconds; from callers and to backend servers. */
    public static final String TIMEOUT_MILLIS = "Oriolewind-Timeout-Millis";

    /** Number of services a call passed; from backend servers that call on. */
    public static final String HOPS = "Oriolewind-Hops";

    /** The call's id; from callers, or made by the first node. */
    public static final String CALL = "Oriolewind-Call";

    /** What became of the call, to callers: {@code answered}, {@code not-run}, {@code unknown}. */
    public static final String OUTCOME = "Oriolewind-Outcome";

    /** Why a call was not run, to callers. */
    public static final String REASON = "Oriolewind-Reason";

    /** The backend server version that answered, to callers. */
    public static final String VERSION = "Oriolewind-Version";

    /** A key that marks repeats of the same call; from callers. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** From backend servers: the call was refused and not run; {@code shed} or {@code draining}. */
    public static final String NOT_RUN = "X-Not-Run";

    /** Value of {@link #NOT_RUN} of a backend server that is about to leave. */
    public static final String DRAINING = "draining";

    private CallHeaders() {}
}
