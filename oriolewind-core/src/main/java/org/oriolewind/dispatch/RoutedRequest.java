package org.oriolewind.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.oriolewind.loadbalancing.FleetMember;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.TrafficRoute;
import org.oriolewind.request.Cancellable;
import org.oriolewind.rollout.CallMeasurement;
import org.oriolewind.rollout.VersionSelection;
import org.oriolewind.wire.BackendEntry;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.NotRunReason;

/**
 * A request with a matching route, dispatched under the policy that was in force when the request
 * arrived.
 *
 * <p>Invariants: at most one open attempt awaits a responsive peer; others are open only if their
 * peers became unresponsive, and the first answer counts. A request that is not idempotent is
 * retried only after an answer that proves that it was not run. Exactly one reply is given, or none
 * after a cancellation. Not thread-safe.
 */
final class RoutedRequest implements Cancellable {
    private static final int SERVER_ERROR = 500;

    /** Time after the deadline for which a peer's answer is still awaited. */
    static final long ANSWER_GRACE_MILLIS = 40;

    /** Number of refused attempts after which the request is refused. Each costs a round trip. */
    private static final int MAX_REFUSALS = 4;

    /** Failure rate of a backend server, in thousandths, above which no retry is sent to it. */
    private static final int MAX_RETRY_FAILURE_PERMILLE = 200;

    /**
     * Retry delay sent to the client while no backend server is available. The next heartbeat may
     * report one.
     */
    private static final long NO_BACKEND_RETRY_AFTER_MILLIS = 400;

    /**
     * Shortest retry delay sent to a client. A shorter one brings clients back during the same
     * overload.
     */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    /** Jitter of retry delays, so that clients refused together do not return together. */
    private static final double RETRY_AFTER_JITTER = 0.5;

    private final DispatchContext mContext;
    private final long mConfigVersion;
    private final TrafficRoute mRoute;
    private final ClientRequest mRequest;
    private final Consumer<ClientReply> mDone;
    private final Consumer<RoutedRequest> mOnFinished;
    private final String mService;
    private final long mStartMillis;
    private final long mDeadlineMillis;
    private final Set<String> mTried = new HashSet<>();
    private final List<Attempt> mOpenAttempts = new ArrayList<>();
    private final List<String> mFailedAttempts = new ArrayList<>();
    private VersionSelection mVersionSelection = VersionSelection.ANY;
    private Optional<Cancellable> mTimeout = Optional.empty();
    private Optional<CallAnswer> mServerErrorAnswer = Optional.empty();
    private NotRunReason mLatestRefusal = NotRunReason.NOT_RUN_REASON_UNREACHABLE;
    private long mRetryAfterMillis = NO_BACKEND_RETRY_AFTER_MILLIS;
    private boolean mMayHaveRun;
    private int mBackendAttempts;
    private int mRefusals;
    private boolean mEnded;

    RoutedRequest(
            DispatchContext context,
            long configVersion,
            TrafficRoute route,
            ClientRequest request,
            long latestDeadlineMillis,
            Consumer<ClientReply> done,
            Consumer<RoutedRequest> onFinished) {
        mContext = context;
        mConfigVersion = configVersion;
        mRoute = route;
        mRequest = request;
        mDone = done;
        mOnFinished = onFinished;
        mService = context.serviceSelector().select(route);
        mStartMillis = context.clock().monotonicMillis();
        long left = request.timeLeftMillis().orElse(route.timeoutMillis());
        mDeadlineMillis =
                Math.min(
                        latestDeadlineMillis, mStartMillis + Math.min(left, route.timeoutMillis()));
    }

    void start() {
        mContext.retryBudget().onRequest(mService);
        mVersionSelection = mContext.rollouts().select(mService);
        mTimeout =
                Optional.of(
                        mContext.timers()
                                .schedule(timeLeftMillis() + ANSWER_GRACE_MILLIS, this::abandon));
        send();
    }

    private long timeLeftMillis() {
        return mDeadlineMillis - mContext.clock().monotonicMillis();
    }

    private long targetLatencyLeftMillis() {
        return mStartMillis + mRoute.targetLatencyMillis() - mContext.clock().monotonicMillis();
    }

    private void send() {
        long left = timeLeftMillis();
        if (left <= 0) {
            mLatestRefusal = NotRunReason.NOT_RUN_REASON_EXPIRED;
            endUnlessAttemptOpen();
            return;
        }
        Optional<FleetMember> target = selectTarget();
        if (target.isEmpty()) {
            endUnlessAttemptOpen();
            return;
        }
        FleetMember member = target.get();
        String node = member.status().getNode();
        mTried.add(node);
        Attempt attempt = new Attempt(member, mContext.clock().monotonicMillis());
        mOpenAttempts.add(attempt);
        member.onSent(attempt.startMillis());
        CallRequest call = buildCall(member, left);
        Consumer<CallAnswer> onAnswer = answer -> onAnswer(attempt, answer);
        Cancellable cancellable =
                node.equals(mContext.node())
                        ? mContext.localServer().serve(call, onAnswer)
                        : mContext.peers().send(member.status().getPeerAddress(), call, onAnswer);
        attempt.setCall(cancellable);
    }

    private Optional<FleetMember> selectTarget() {
        boolean explore = mRoute.retrySafety().isIdempotent() && mTried.isEmpty();
        Optional<String> targetVersion = mContext.rollouts().targetVersion(mService);
        if (targetVersion.isEmpty()) {
            return selectNode(member -> true, explore);
        }
        Predicate<FleetMember> runsTargetVersion =
                member -> member.status().getBackend().getVersion().equals(targetVersion.get());
        Optional<FleetMember> preferred = selectNode(preferred(runsTargetVersion), explore);
        if (preferred.isPresent() || mVersionSelection == VersionSelection.OLD_ONLY) {
            return preferred;
        }
        return selectNode(runsTargetVersion.negate(), explore);
    }

    private Predicate<FleetMember> preferred(Predicate<FleetMember> runsTargetVersion) {
        Optional<String> probedNode = mContext.rollouts().probedNode(mService);
        return switch (mVersionSelection) {
            case CANARY, NEW_FIRST -> runsTargetVersion;
            case PROBE -> member -> probedNode.equals(Optional.of(member.status().getNode()));
            case ANY, OLD_ONLY -> runsTargetVersion.negate();
        };
    }

    private Optional<FleetMember> selectNode(Predicate<FleetMember> candidates, boolean explore) {
        return mContext.nodeSelector()
                .select(
                        mService,
                        mRoute.name(),
                        candidates,
                        mContext.documents(),
                        mTried,
                        Math.max(1, targetLatencyLeftMillis()),
                        explore);
    }

    private CallRequest buildCall(FleetMember member, long leftMillis) {
        return CallRequest.newBuilder()
                .setService(mService)
                .setServiceVersion(member.status().getBackend().getVersion())
                .setTargetInstance(member.status().getBackend().getInstanceId())
                .setRoute(mRoute.name())
                .setMethod(mRequest.method())
                .setPath(mRequest.target())
                .addAllHeaders(mRequest.headers())
                .setBody(mRequest.body())
                .setTimeoutMillis((int) leftMillis)
                .setAimMillis((int) Math.max(0, targetLatencyLeftMillis()))
                .setIdempotent(mRoute.retrySafety().isIdempotent())
                .setCallId(mRequest.id())
                .setCallerService(mContext.callerService().get())
                .setPriority(mRoute.priority())
                .build();
    }

    private void onAnswer(Attempt attempt, CallAnswer answer) {
        // An answer to an attempt that was cancelled is dropped.
        if (!mOpenAttempts.remove(attempt)) {
            return;
        }
        FleetMember member = attempt.member();
        member.onAnswer(mRoute.name(), answer);
        boolean succeeded =
                answer.getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED
                        && answer.getStatus() < SERVER_ERROR;
        if (!succeeded) {
            mFailedAttempts.add(describeAttempt(member, answer));
        }
        switch (answer.getOutcome()) {
            case CALL_OUTCOME_ANSWERED -> onServerAnswer(attempt, answer);
            case CALL_OUTCOME_NOT_RUN -> onRefusal(attempt, answer);
            default -> onUnknown(attempt, answer);
        }
    }

    /**
     * Counts an attempt that may have run, unless it was counted when its peer failed to answer.
     */
    private void countBackendAttempt(Attempt attempt) {
        mMayHaveRun = true;
        if (!attempt.isPeerUnresponsive()) {
            mBackendAttempts++;
        }
    }

    /** Describes the answer of one attempt and the load that the answer reported. */
    private String describeAttempt(FleetMember member, CallAnswer answer) {
        String outcome =
                switch (answer.getOutcome()) {
                    case CALL_OUTCOME_ANSWERED -> "status " + answer.getStatus();
                    case CALL_OUTCOME_NOT_RUN -> answer.getNotRunReason().name();
                    default -> "no complete response";
                };
        return String.format(
                "%s: %s (load %d of %d, after %d ms)",
                member.status().getNode(),
                outcome,
                answer.getInFlight(),
                answer.getLimit(),
                mContext.clock().monotonicMillis() - mStartMillis);
    }

    private void recordOutcome(FleetMember member, boolean failed, CallAnswer answer) {
        recordOutcome(
                member, new CallMeasurement(failed, answer.getCold(), answer.getServiceMicros()));
    }

    /**
     * Records the outcome of an attempt whose answer is no longer awaited. Without this, the
     * slowest calls of a version would not count at all. An attempt abandoned before the target
     * latency passed, or at an unresponsive peer, says nothing about the version and is not
     * counted.
     */
    private void recordAbandoned(Attempt attempt) {
        long elapsedMillis = mContext.clock().monotonicMillis() - attempt.startMillis();
        if (attempt.isPeerUnresponsive() || elapsedMillis < mRoute.targetLatencyMillis()) {
            return;
        }
        boolean cold = attempt.member().status().getBackend().getColdMillis() > 0;
        boolean late = timeLeftMillis() <= 0;
        recordOutcome(
                attempt.member(),
                new CallMeasurement(late, cold, TimeUnit.MILLISECONDS.toMicros(elapsedMillis)));
    }

    private void recordOutcome(FleetMember member, CallMeasurement measurement) {
        BackendEntry backend = member.status().getBackend();
        mContext.rollouts()
                .count(
                        mService,
                        backend.getVersion(),
                        mRoute.name(),
                        mVersionSelection,
                        measurement);
        if (measurement.failed()) {
            mVersionSelection = mVersionSelection.afterFailure();
        }
    }

    private void onServerAnswer(Attempt attempt, CallAnswer answer) {
        FleetMember member = attempt.member();
        boolean failed = answer.getStatus() >= SERVER_ERROR;
        recordOutcome(member, failed, answer);
        countBackendAttempt(attempt);
        if (!failed) {
            end(answered(answer), "answered", member.status().getNode());
            return;
        }
        boolean retry = !isAwaitingResponsivePeer() && tryRetry();
        if (retry || !mOpenAttempts.isEmpty()) {
            mServerErrorAnswer = Optional.of(answer);
        }
        if (retry) {
            retry(member, "answered with status " + answer.getStatus());
        } else if (mOpenAttempts.isEmpty()) {
            end(answered(answer), "answered", member.status().getNode());
        }
    }

    private static ClientReply answered(CallAnswer answer) {
        return new ClientReply.Answered(
                answer.getStatus(), answer.getHeadersList(), answer.getBody());
    }

    /**
     * Returns whether an idempotent request may be retried, and charges the retry to the budget. A
     * retry is sent only to a backend server with a low failure rate, since a retry that fails as
     * well adds load without benefit.
     */
    private boolean tryRetry() {
        return mRoute.retrySafety().isIdempotent()
                && mBackendAttempts < mRoute.maxAttempts()
                && timeLeftMillis() > 0
                && selectTarget().filter(RoutedRequest::isHealthy).isPresent()
                && mContext.retryBudget().tryRetry(mService);
    }

    private boolean isAwaitingResponsivePeer() {
        return !mOpenAttempts.stream().allMatch(Attempt::isPeerUnresponsive);
    }

    private static boolean isHealthy(FleetMember member) {
        return member.status().getFailurePermille() <= MAX_RETRY_FAILURE_PERMILLE;
    }

    private void onRefusal(Attempt attempt, CallAnswer answer) {
        FleetMember member = attempt.member();
        NotRunReason reason = answer.getNotRunReason();
        if (attempt.isPeerUnresponsive()) {
            // It was counted when its peer failed to answer, but was not run.
            mBackendAttempts--;
        }
        mLatestRefusal = reason;
        mRefusals++;
        long now = mContext.clock().monotonicMillis();
        if (reason == NotRunReason.NOT_RUN_REASON_UNREACHABLE
                || reason == NotRunReason.NOT_RUN_REASON_LEAVING
                || reason == NotRunReason.NOT_RUN_REASON_WRONG_TARGET) {
            member.onUnreachable(now);
        }
        if (answer.getRetryAfterMillis() > 0) {
            mRetryAfterMillis = answer.getRetryAfterMillis();
        }
        if (reason == NotRunReason.NOT_RUN_REASON_REFUSED_BY_BACKEND) {
            // The backend server itself refused, so this counts as an attempt there.
            mBackendAttempts++;
        }
        if (!isAwaitingResponsivePeer() && mayRetryAfter(reason)) {
            retry(member, reason.name());
        } else {
            endUnlessAttemptOpen();
        }
    }

    /** Returns whether a request that was refused may be retried, and charges its budget. */
    private boolean mayRetryAfter(NotRunReason reason) {
        return switch (reason) {
            case NOT_RUN_REASON_EXPIRED, NOT_RUN_REASON_CANCELLED -> false;
            case NOT_RUN_REASON_REFUSED_BY_BACKEND ->
                    mBackendAttempts < mRoute.maxAttempts()
                            && selectTarget().filter(RoutedRequest::isHealthy).isPresent()
                            && mContext.retryBudget().tryRetry(mService);
            default -> mRefusals < MAX_REFUSALS;
        };
    }

    private void onUnknown(Attempt attempt, CallAnswer answer) {
        FleetMember member = attempt.member();
        boolean timedOut = timeLeftMillis() <= 0;
        recordOutcome(member, true, answer);
        countBackendAttempt(attempt);
        if (!timedOut) {
            member.onUnreachable(mContext.clock().monotonicMillis());
            if (!isAwaitingResponsivePeer() && tryRetry()) {
                retry(member, "no complete response");
                return;
            }
        }
        endUnlessAttemptOpen();
    }

    /**
     * Retries the request on another node if an open attempt waits for this unresponsive peer and
     * the request may be retried. The attempt stays open: the peer may only be slow, and the other
     * nodes may refuse the retry.
     */
    void onPeerUnresponsive(String peerAddress) {
        Optional<Attempt> waiting =
                mOpenAttempts.stream()
                        .filter(attempt -> !attempt.isPeerUnresponsive())
                        .filter(attempt -> attempt.isSentTo(peerAddress))
                        .findFirst();
        if (waiting.isEmpty() || mBackendAttempts + 1 >= mRoute.maxAttempts() || !tryRetry()) {
            return;
        }
        Attempt attempt = waiting.get();
        attempt.onPeerUnresponsive();
        mBackendAttempts++;
        mFailedAttempts.add(attempt.member().status().getNode() + ": peer unresponsive");
        retry(attempt.member(), "peer unresponsive");
    }

    private void retry(FleetMember member, String reason) {
        mContext.log().retried(mRequest.id(), member.status().getNode(), reason);
        send();
    }

    /** Ends the request without waiting for open attempts any longer. */
    void abandon() {
        mMayHaveRun |= !mOpenAttempts.isEmpty();
        mOpenAttempts.forEach(this::recordAbandoned);
        endWithoutAnswer();
    }

    /** Ends the request unless an open attempt may still be answered. */
    private void endUnlessAttemptOpen() {
        if (mOpenAttempts.isEmpty()) {
            endWithoutAnswer();
        }
    }

    /** Ends the request with the best reply available, as no further attempt is possible. */
    private void endWithoutAnswer() {
        if (mServerErrorAnswer.isPresent()) {
            end(answered(mServerErrorAnswer.get()), "answered", "earlier response");
        } else if (mMayHaveRun) {
            boolean timedOut = timeLeftMillis() <= 0;
            end(
                    new ClientReply.Unknown(timedOut),
                    timedOut ? "timed out" : "unknown",
                    "no complete response");
        } else {
            double jitterFactor = 1 + mContext.random().nextDouble() * RETRY_AFTER_JITTER;
            long retryAfterMillis =
                    (long) (Math.max(MIN_RETRY_AFTER_MILLIS, mRetryAfterMillis) * jitterFactor);
            end(
                    new ClientReply.NotRun(mLatestRefusal, retryAfterMillis),
                    "refused",
                    mLatestRefusal + ", retry after " + retryAfterMillis + " ms");
        }
    }

    private void end(ClientReply reply, String outcome, String detail) {
        if (mEnded) {
            return;
        }
        finish(outcome, detail);
        cancelOpenAttempts();
        mDone.accept(reply);
    }

    private void cancelOpenAttempts() {
        List<Attempt> open = new ArrayList<>(mOpenAttempts);
        mOpenAttempts.clear();
        open.forEach(Attempt::cancel);
    }

    private void finish(String outcome, String detail) {
        mEnded = true;
        mOnFinished.accept(this);
        mTimeout.ifPresent(Cancellable::cancel);
        long millis = mContext.clock().monotonicMillis() - mStartMillis;
        mContext.log()
                .ended(mRequest, mRoute.name(), outcome, () -> describeDecision(detail), millis);
    }

    private String describeDecision(String detail) {
        return detail
                + "; service "
                + mService
                + ", configuration "
                + mConfigVersion
                + ", configuration revision "
                + mContext.documents().revision(DocumentKind.CONFIG)
                + ", tried "
                + mTried
                + " "
                + mFailedAttempts;
    }

    @Override
    public void cancel() {
        if (mEnded) {
            return;
        }
        mOpenAttempts.forEach(this::recordAbandoned);
        finish("cancelled", "client disconnected");
        cancelOpenAttempts();
    }
}
