package org.oriolewind.backend;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oriolewind.dispatch.RequestLog;
import org.oriolewind.policy.OperatorDocumentCache;
import org.oriolewind.policy.ServicePolicy;
import org.oriolewind.request.BackendCallSender;
import org.oriolewind.request.CallAnswers;
import org.oriolewind.request.CallServer;
import org.oriolewind.request.Cancellable;
import org.oriolewind.time.NodeClock;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.BackendPhase;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.NotRunReason;

/**
 * Serves calls for the backend server beside this node: verifies that a call is addressed to it,
 * passes it through the admission gate and forwards it. Not thread-safe.
 */
public final class BackendCallServer implements CallServer {
    /**
     * Rate for cold backend servers of services without a configured one, in requests per second.
     */
    private static final double DEFAULT_COLD_PER_SECOND = 5;

    private final String mDataCentre;
    private final SlowStartLimit mSlowStartLimit;
    private final NodeClock mClock;
    private final BackendTracker mBackendTracker;
    private final BackendGate mGate;
    private final BackendCallSender mCallSender;
    private final Supplier<OperatorDocumentCache> mDocuments;
    private final DecayingFailureRate mFailureRate = new DecayingFailureRate();
    private final StartupHeartbeatVerifier mVerifier;
    private final RequestLog mLog;
    private boolean mShuttingDown;
    private boolean mDataCentreOut;
    private Optional<BackendHeartbeat> mLatestWhileDataCentreOut = Optional.empty();

    /**
     * Creates the service. Its gate stays closed until {@link #refresh} finds the backend server
     * ready.
     *
     * @param dataCentre this node's data centre
     * @param slowStartLimit rate limit for a cold backend server
     * @param clock provides monotonic time
     * @param backend tracks the backend server's heartbeats
     * @param gate admits calls to the backend server
     * @param callSender forwards calls to the backend server
     * @param documents provides the operators' documents
     * @param verifier holds back incarnations of the backend server whose heartbeats may have been
     *     delayed since before the start of this node
     * @param log records calls that end without a complete answer
     */
    public BackendCallServer(
            String dataCentre,
            SlowStartLimit slowStartLimit,
            NodeClock clock,
            BackendTracker backend,
            BackendGate gate,
            BackendCallSender callSender,
            Supplier<OperatorDocumentCache> documents,
            StartupHeartbeatVerifier verifier,
            RequestLog log) {
        mDataCentre = dataCentre;
        mSlowStartLimit = slowStartLimit;
        mClock = clock;
        mBackendTracker = backend;
        mGate = gate;
        mCallSender = callSender;
        mDocuments = documents;
        mVerifier = verifier;
        mLog = log;
    }

    NodeClock clock() {
        return mClock;
    }

    BackendGate gate() {
        return mGate;
    }

    BackendTracker backend() {
        return mBackendTracker;
    }

    RequestLog log() {
        return mLog;
    }

    BackendCallSender callSender() {
        return mCallSender;
    }

    /** Refuses all calls from now on, since this node shuts down. */
    public void beginShutdown() {
        mShuttingDown = true;
        refresh();
    }

    /**
     * Opens, adjusts or closes the gate according to the heartbeats and the operators' documents.
     * Must be called after each change of them and several times a second.
     */
    public void refresh() {
        recordDataCentreOut();
        updateVerifier();
        if (mShuttingDown || isReady() && isDataCentreOut()) {
            mGate.close(
                    mShuttingDown
                            ? NotRunReason.NOT_RUN_REASON_LEAVING
                            : NotRunReason.NOT_RUN_REASON_DATA_CENTRE_OUT);
        } else if (isReady()) {
            BackendHeartbeat heartbeat = mBackendTracker.latest().orElseThrow();
            mGate.open(heartbeat.slots(), coldPerSecond(heartbeat));
        } else {
            boolean hasHeartbeat = mBackendTracker.latest().isPresent();
            mGate.close(
                    hasHeartbeat
                            ? NotRunReason.NOT_RUN_REASON_LEAVING
                            : NotRunReason.NOT_RUN_REASON_UNREACHABLE);
        }
    }

    private boolean isReady() {
        return mBackendTracker.isReady()
                && mBackendTracker.latest().filter(mVerifier::isPassed).isPresent();
    }

    private void updateVerifier() {
        Optional<BackendHeartbeat> heartbeat = mBackendTracker.latest();
        if (!mBackendTracker.isReady() || mDocuments.get().policy().isEmpty()) {
            return;
        }
        Optional<String> path =
                servicePolicy(heartbeat.orElseThrow())
                        .map(ServicePolicy::healthPath)
                        .filter(p -> !p.isEmpty());
        mVerifier.update(heartbeat.get(), mBackendTracker.latestReceivedMillis(), path);
    }

    private Optional<ServicePolicy> servicePolicy(BackendHeartbeat heartbeat) {
        return mDocuments.get().policy().flatMap(policy -> policy.service(heartbeat.service()));
    }

    /**
     * Returns the state of the backend server that is published to other nodes.
     *
     * @return the entry; a ready backend server that is not yet confirmed has phase gone
     */
    public BackendEntry entry() {
        BackendEntry entry = mBackendTracker.entry();
        boolean unconfirmed = entry.getPhase() == BackendPhase.BACKEND_PHASE_READY && !isReady();
        return unconfirmed
                ? entry.toBuilder().setPhase(BackendPhase.BACKEND_PHASE_GONE).build()
                : entry;
    }

    /**
     * A backend server whose data centre was out of service may have become cold since its latest
     * heartbeat. It is treated as cold until its next one.
     */
    private void recordDataCentreOut() {
        boolean out = isDataCentreOut();
        if (mDataCentreOut || out) {
            mDataCentreOut = out;
            mLatestWhileDataCentreOut = mBackendTracker.latest();
        }
    }

    private boolean mayBeCold() {
        return mBackendTracker.isCold()
                || mBackendTracker.latest().equals(mLatestWhileDataCentreOut);
    }

    private boolean isDataCentreOut() {
        return mDocuments.get().isEvacuated(mDataCentre);
    }

    private Optional<Integer> coldPerSecond(BackendHeartbeat heartbeat) {
        if (!mayBeCold()) {
            return Optional.empty();
        }
        double rate =
                servicePolicy(heartbeat)
                        .map(ServicePolicy::coldRequestsPerSecond)
                        .filter(r -> r > 0)
                        .orElse(DEFAULT_COLD_PER_SECOND);
        return Optional.of(mSlowStartLimit.requests(rate));
    }

    @Override
    public Cancellable serve(CallRequest request, Consumer<CallAnswer> done) {
        refresh();
        BackendCall call = new BackendCall(this, request, done);
        if (!isAddressedToBackend(request)) {
            call.onRefused(NotRunReason.NOT_RUN_REASON_WRONG_TARGET, 0);
            return () -> {};
        }
        mGate.enter(call);
        return call;
    }

    private boolean isAddressedToBackend(CallRequest request) {
        Optional<BackendHeartbeat> heartbeat = mBackendTracker.latest();
        if (heartbeat.isEmpty() || !heartbeat.get().service().equals(request.getService())) {
            return false;
        }
        return request.getTargetInstance().isEmpty()
                || request.getTargetInstance().equals(heartbeat.get().instanceId());
    }

    void onEnded(boolean failed) {
        mFailureRate.add(failed, mClock.monotonicMillis());
    }

    CallAnswer notRun(NotRunReason reason, long retryAfterMillis) {
        return withLoad(
                CallAnswers.notRun(reason).toBuilder()
                        .setRetryAfterMillis((int) Math.min(Integer.MAX_VALUE, retryAfterMillis)));
    }

    CallAnswer withLoad(CallAnswer.Builder answer) {
        return answer.setLimit(mGate.limit())
                .setInFlight(mGate.load())
                .setMeanServiceMicros(mGate.meanMicros())
                .setCold(mayBeCold())
                .build();
    }

    /** Returns the rate of recent calls that failed at the backend server, in thousandths. */
    public int failureRatePermille() {
        return (int) (mFailureRate.rate(mClock.monotonicMillis()) * 1000);
    }
}
