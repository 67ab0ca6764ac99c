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
 * Serves calls for the backend server beside this node: checks that they belong here, passes them
 * through the gate and hands them over. Not safe for use by several threads.
 */
public final class BackendService implements CallServer {
    /** Rate for cold backend servers of which operators say nothing. */
    private static final double DEFAULT_COLD_PER_SECOND = 5;

    private final String mDataCentre;
    private final SlowStartLimit mColdBound;
    private final NodeClock mClock;
    private final BackendTracker mBackend;
    private final BackendGate mGate;
    private final BackendCallSender mPort;
    private final Supplier<OperatorDocumentCache> mView;
    private final DecayingFailureRate mFailures = new DecayingFailureRate();
    private final FirstHeartbeatVerifier mRestartCheck;
    private final RequestLog mLog;
    private boolean mLeaving;
    private boolean mOut;
    private Optional<BackendHeartbeat> mLatestWhileOut = Optional.empty();

    /**
     * Creates a service.
     *
     * @param dataCentre this node's data centre
     * @param coldBound what a cold backend server bears
     * @param clock the clock
     * @param backend what is known of the backend server
     * @param gate the gate in front of it
     * @param port the way to it
     * @param view the operators' documents
     * @param restartCheck confirms the first backend server that is heard of
     * @param log takes what ends without a whole answer
     */
    public BackendService(
            String dataCentre,
            SlowStartLimit coldBound,
            NodeClock clock,
            BackendTracker backend,
            BackendGate gate,
            BackendCallSender port,
            Supplier<OperatorDocumentCache> view,
            FirstHeartbeatVerifier restartCheck,
            RequestLog log) {
        mDataCentre = dataCentre;
        mColdBound = coldBound;
        mClock = clock;
        mBackend = backend;
        mGate = gate;
        mPort = port;
        mView = view;
        mRestartCheck = restartCheck;
        mLog = log;
    }

    NodeClock clock() {
        return mClock;
    }

    BackendGate gate() {
        return mGate;
    }

    BackendTracker backend() {
        return mBackend;
    }

    RequestLog log() {
        return mLog;
    }

    BackendCallSender port() {
        return mPort;
    }

    /** Takes no more calls, since this node ends. */
    public void beginShutdown() {
        mLeaving = true;
        refresh();
    }

    /**
     * Brings the gate in line with the heartbeats and the operators' documents. To be called after
     * each change of them and several times a second.
     */
    public void refresh() {
        noteOut();
        updateRestartCheck();
        if (mLeaving || isReady() && isOut()) {
            mGate.close(
                    mLeaving
                            ? NotRunReason.NOT_RUN_REASON_LEAVING
                            : NotRunReason.NOT_RUN_REASON_DATA_CENTRE_OUT);
        } else if (isReady()) {
            BackendHeartbeat report = mBackend.latest().orElseThrow();
            mGate.open(report.slots(), coldPerSecond(report));
        } else {
            boolean known = mBackend.latest().isPresent();
            mGate.close(
                    known
                            ? NotRunReason.NOT_RUN_REASON_LEAVING
                            : NotRunReason.NOT_RUN_REASON_UNREACHABLE);
        }
    }

    private boolean isReady() {
        return mBackend.isReady() && mBackend.latest().filter(mRestartCheck::isPassed).isPresent();
    }

    private void updateRestartCheck() {
        Optional<BackendHeartbeat> report = mBackend.latest();
        if (!mBackend.isReady() || mView.get().policy().isEmpty()) {
            return;
        }
        Optional<String> path =
                servicePolicy(report.orElseThrow())
                        .map(ServicePolicy::healthPath)
                        .filter(p -> !p.isEmpty());
        mRestartCheck.update(report.get(), path);
    }

    private Optional<ServicePolicy> servicePolicy(BackendHeartbeat report) {
        return mView.get().policy().flatMap(policy -> policy.service(report.service()));
    }

    /**
     * Returns the backend server's entry for other nodes.
     *
     * @return the entry
     */
    public BackendEntry entry() {
        BackendEntry entry = mBackend.entry();
        boolean unconfirmed = entry.getPhase() == BackendPhase.BACKEND_PHASE_READY && !isReady();
        return unconfirmed
                ? entry.toBuilder().setPhase(BackendPhase.BACKEND_PHASE_GONE).build()
                : entry;
    }

    /**
     * A backend server whose data centre was out may have turned cold since its latest heartbeat;
     * it counts as cold until the next one.
     */
    private void noteOut() {
        boolean out = isOut();
        if (mOut || out) {
            mOut = out;
            mLatestWhileOut = mBackend.latest();
        }
    }

    private boolean mayBeCold() {
        return mBackend.isCold() || mBackend.latest().equals(mLatestWhileOut);
    }

    private boolean isOut() {
        return mView.get().isOut(mDataCentre);
    }

    private Optional<Integer> coldPerSecond(BackendHeartbeat report) {
        if (!mayBeCold()) {
            return Optional.empty();
        }
        double rate =
                servicePolicy(report)
                        .map(ServicePolicy::coldPerSecond)
                        .filter(r -> r > 0)
                        .orElse(DEFAULT_COLD_PER_SECOND);
        return Optional.of(mColdBound.requests(rate));
    }

    @Override
    public Cancellable serve(CallRequest request, Consumer<CallAnswer> done) {
        refresh();
        BackendCall call = new BackendCall(this, request, done);
        if (!isForBackend(request)) {
            call.onRefused(NotRunReason.NOT_RUN_REASON_WRONG_TARGET, 0);
            return () -> {};
        }
        mGate.enter(call);
        return call;
    }

    private boolean isForBackend(CallRequest request) {
        Optional<BackendHeartbeat> report = mBackend.latest();
        if (report.isEmpty() || !report.get().service().equals(request.getService())) {
            return false;
        }
        return request.getTargetInstance().isEmpty()
                || request.getTargetInstance().equals(report.get().instanceId());
    }

    void onEnded(boolean failed) {
        mFailures.add(failed, mClock.monotonicMillis());
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

    /**
     * Returns the share of late calls that failed at the backend server.
     *
     * @return thousandths
     */
    public int failureRatePermille() {
        return (int) (mFailures.share(mClock.monotonicMillis()) * 1000);
    }
}
