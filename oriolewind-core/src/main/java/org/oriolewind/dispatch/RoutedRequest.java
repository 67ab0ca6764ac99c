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
 * One request on its way, on the configuration that was in force when it came.
 *
 * <p>Invariants: sendings follow one another and no two are open at once; a request that may not
 * run again is sent on only after an answer that proves that it did not run; the end is given once.
 * Not safe for use by several threads.
 */
final class RoutedRequest implements Cancellable {
    private static final int SERVER_ERROR = 500;

    /** Time beyond the deadline after which an answer of another node is no longer awaited. */
    private static final long ANSWER_GRACE_MILLIS = 40;

    /** Refusals by gates after which a request is refused: each costs a round trip. */
    private static final int MAX_REFUSALS = 4;

    /** Failures of a backend server above which nothing is repeated there, in thousandths. */
    private static final int MAX_REPEAT_FAILURE_PERMILLE = 200;

    /** Wait that is told when no backend server takes calls: a heartbeat brings the next one. */
    private static final long NO_BACKEND_RETRY_MILLIS = 400;

    /** Shortest wait that is told: less brings clients back into the same congestion. */
    private static final long MIN_RETRY_MILLIS = 100;

    /** Spreads the return of clients that were refused together. */
    private static final double RETRY_SPREAD = 0.5;

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
    private final List<String> mSteps = new ArrayList<>();
    private VersionSelection mShare = VersionSelection.ANY;
    private Optional<Cancellable> mSending = Optional.empty();
    private Optional<FleetMember> mTarget = Optional.empty();
    private Optional<Cancellable> mTimeout = Optional.empty();
    private Optional<CallAnswer> mServerAnswer = Optional.empty();
    private NotRunReason mLatestRefusal = NotRunReason.NOT_RUN_REASON_UNREACHABLE;
    private long mRetryAfterMillis = NO_BACKEND_RETRY_MILLIS;
    private long mSentMillis;
    private boolean mMayHaveRun;
    private int mHandedOver;
    private int mRefusals;
    private boolean mEnded;

    RoutedRequest(
            DispatchContext context,
            long configVersion,
            TrafficRoute route,
            ClientRequest request,
            Consumer<ClientReply> done,
            Consumer<RoutedRequest> onFinished) {
        mContext = context;
        mConfigVersion = configVersion;
        mRoute = route;
        mRequest = request;
        mDone = done;
        mOnFinished = onFinished;
        mService = context.splits().choose(route);
        mStartMillis = context.clock().monotonicMillis();
        long left = request.timeLeftMillis().orElse(route.timeoutMillis());
        mDeadlineMillis = mStartMillis + Math.min(left, route.timeoutMillis());
    }

    void start() {
        mContext.budget().onRequest(mService);
        mShare = mContext.trials().share(mService);
        mTimeout =
                Optional.of(
                        mContext.timers()
                                .schedule(timeLeftMillis() + ANSWER_GRACE_MILLIS, this::onTimeout));
        send();
    }

    private long timeLeftMillis() {
        return mDeadlineMillis - mContext.clock().monotonicMillis();
    }

    private long aimLeftMillis() {
        return mStartMillis + mRoute.targetLatencyMillis() - mContext.clock().monotonicMillis();
    }

    private void send() {
        long left = timeLeftMillis();
        if (left <= 0) {
            mLatestRefusal = NotRunReason.NOT_RUN_REASON_EXPIRED;
            endWithout();
            return;
        }
        Optional<FleetMember> target = chooseTarget();
        if (target.isEmpty()) {
            endWithout();
            return;
        }
        FleetMember member = target.get();
        mTarget = target;
        String node = member.status().getNode();
        mTried.add(node);
        mSentMillis = mContext.clock().monotonicMillis();
        member.onSent(mSentMillis);
        CallRequest call = callTo(member, left);
        Consumer<CallAnswer> onAnswer = answer -> onAnswer(member, answer);
        mSending = Optional.empty();
        int sending = mTried.size();
        Cancellable cancellable =
                node.equals(mContext.node())
                        ? mContext.local().serve(call, onAnswer)
                        : mContext.peers().send(member.status().getPeerAddress(), call, onAnswer);
        // The answer may have come before the call returned, and the next sending with it.
        if (sending == mTried.size() && !mEnded) {
            mSending = Optional.of(cancellable);
        }
    }

    private Optional<FleetMember> chooseTarget() {
        boolean explore = mRoute.kind().isIdempotent() && mTried.isEmpty();
        Optional<String> trial = mContext.trials().target(mService);
        if (trial.isEmpty()) {
            return choose(member -> true, explore);
        }
        Predicate<FleetMember> isNew =
                member -> member.status().getBackend().getVersion().equals(trial.get());
        Optional<FleetMember> preferred = choose(preferred(isNew), explore);
        if (preferred.isPresent() || mShare == VersionSelection.OLD_ONLY) {
            return preferred;
        }
        return choose(isNew.negate(), explore);
    }

    private Predicate<FleetMember> preferred(Predicate<FleetMember> isNew) {
        Optional<String> probed = mContext.trials().probed(mService);
        return switch (mShare) {
            case SAMPLE, NEW_FIRST -> isNew;
            case PROBE -> member -> probed.equals(Optional.of(member.status().getNode()));
            case ANY, OLD_ONLY -> isNew.negate();
        };
    }

    private Optional<FleetMember> choose(Predicate<FleetMember> candidates, boolean explore) {
        return mContext.placement()
                .choose(
                        mService,
                        mRoute.name(),
                        candidates,
                        mContext.view(),
                        mTried,
                        Math.max(1, aimLeftMillis()),
                        explore);
    }

    private CallRequest callTo(FleetMember member, long leftMillis) {
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
                .setAimMillis((int) Math.max(0, aimLeftMillis()))
                .setIdempotent(mRoute.kind().isIdempotent())
                .setCallId(mRequest.id())
                .setCallerService(mContext.callerService().get())
                .setPriority(mRoute.priority())
                .build();
    }

    private void onAnswer(FleetMember member, CallAnswer answer) {
        if (mEnded) {
            return;
        }
        member.onAnswer(mRoute.name(), answer);
        boolean served =
                answer.getOutcome() == CallOutcome.CALL_OUTCOME_ANSWERED
                        && answer.getStatus() < SERVER_ERROR;
        if (!served) {
            mSteps.add(step(member, answer));
        }
        switch (answer.getOutcome()) {
            case CALL_OUTCOME_ANSWERED -> onServerAnswer(member, answer);
            case CALL_OUTCOME_NOT_RUN -> onRefusal(member, answer);
            default -> onUnknown(member, answer);
        }
    }

    /** Says what one node answered and the load that it told. */
    private String step(FleetMember member, CallAnswer answer) {
        String outcome =
                switch (answer.getOutcome()) {
                    case CALL_OUTCOME_ANSWERED -> "status " + answer.getStatus();
                    case CALL_OUTCOME_NOT_RUN -> answer.getNotRunReason().name();
                    default -> "no whole answer";
                };
        return String.format(
                "%s: %s (load %d of %d, after %d ms)",
                member.status().getNode(),
                outcome,
                answer.getInFlight(),
                answer.getLimit(),
                mContext.clock().monotonicMillis() - mStartMillis);
    }

    private void count(FleetMember member, boolean failed, CallAnswer answer) {
        count(member, new CallMeasurement(failed, answer.getCold(), answer.getServiceMicros()));
    }

    /**
     * Counts a sending that nobody waits for any more. Left out, the slowest calls of a version
     * would count for nothing. One that was given up early says nothing about the version.
     */
    private void countUnanswered() {
        long elapsedMillis = mContext.clock().monotonicMillis() - mSentMillis;
        if (mSending.isEmpty()
                || mTarget.isEmpty()
                || elapsedMillis < mRoute.targetLatencyMillis()) {
            return;
        }
        boolean cold = mTarget.get().status().getBackend().getColdMillis() > 0;
        boolean late = timeLeftMillis() <= 0;
        count(
                mTarget.get(),
                new CallMeasurement(late, cold, TimeUnit.MILLISECONDS.toMicros(elapsedMillis)));
    }

    private void count(FleetMember member, CallMeasurement end) {
        BackendEntry backend = member.status().getBackend();
        mContext.trials().count(mService, backend.getVersion(), mRoute.name(), mShare, end);
        if (end.failed()) {
            mShare = mShare.afterFailure();
        }
    }

    private void onServerAnswer(FleetMember member, CallAnswer answer) {
        boolean failed = answer.getStatus() >= SERVER_ERROR;
        count(member, failed, answer);
        mHandedOver++;
        mMayHaveRun = true;
        if (failed && mayRepeat()) {
            mServerAnswer = Optional.of(answer);
            sendAgain(member, "answered with status " + answer.getStatus());
            return;
        }
        end(answered(answer), "answered", member.status().getNode());
    }

    private static ClientReply answered(CallAnswer answer) {
        return new ClientReply.Answered(
                answer.getStatus(), answer.getHeadersList(), answer.getBody());
    }

    /** A repeat is worth it only where it is likelier to succeed than not. */
    private boolean mayRepeat() {
        return mRoute.kind().isIdempotent()
                && mHandedOver < mRoute.maxAttempts()
                && timeLeftMillis() > 0
                && chooseTarget().filter(RoutedRequest::isSound).isPresent()
                && mContext.budget().tryRetry(mService);
    }

    private static boolean isSound(FleetMember member) {
        return member.status().getFailurePermille() <= MAX_REPEAT_FAILURE_PERMILLE;
    }

    private void onRefusal(FleetMember member, CallAnswer answer) {
        NotRunReason reason = answer.getNotRunReason();
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
        boolean elsewhere =
                switch (reason) {
                    case NOT_RUN_REASON_EXPIRED, NOT_RUN_REASON_CANCELLED -> false;
                    // A refusal by the backend server itself is an arrival there.
                    case NOT_RUN_REASON_REFUSED_BY_BACKEND ->
                            ++mHandedOver < mRoute.maxAttempts()
                                    && chooseTarget().filter(RoutedRequest::isSound).isPresent()
                                    && mContext.budget().tryRetry(mService);
                    default -> mRefusals < MAX_REFUSALS;
                };
        if (elsewhere) {
            sendAgain(member, reason.name());
        } else {
            endWithout();
        }
    }

    private void onUnknown(FleetMember member, CallAnswer answer) {
        boolean timedOut = timeLeftMillis() <= 0;
        count(member, true, answer);
        mHandedOver++;
        mMayHaveRun = true;
        if (!timedOut) {
            member.onUnreachable(mContext.clock().monotonicMillis());
            if (mayRepeat()) {
                sendAgain(member, "no whole answer");
                return;
            }
        }
        endWithout();
    }

    /** Sends the request elsewhere if it waits for a node that gives no sign of life. */
    void onPeerUnresponsive(String peerAddress) {
        boolean waits =
                mSending.isPresent()
                        && mTarget.filter(m -> m.status().getPeerAddress().equals(peerAddress))
                                .isPresent();
        if (mEnded || !waits || mHandedOver + 1 >= mRoute.maxAttempts() || !mayRepeat()) {
            return;
        }
        FleetMember member = mTarget.get();
        mSending.ifPresent(Cancellable::cancel);
        mHandedOver++;
        mMayHaveRun = true;
        mSteps.add(member.status().getNode() + ": no sign of life");
        sendAgain(member, "no sign of life");
    }

    private void sendAgain(FleetMember member, String reason) {
        mContext.log().retried(mRequest.id(), member.status().getNode(), reason);
        send();
    }

    private void onTimeout() {
        boolean open = mSending.isPresent();
        countUnanswered();
        mSending.ifPresent(Cancellable::cancel);
        mMayHaveRun |= open;
        endWithout();
    }

    /** Ends the request with the best that is known, as no further sending is possible. */
    private void endWithout() {
        if (mServerAnswer.isPresent()) {
            end(answered(mServerAnswer.get()), "answered", "earlier answer");
        } else if (mMayHaveRun) {
            boolean timedOut = timeLeftMillis() <= 0;
            end(new ClientReply.Unknown(timedOut), timedOut ? "timed out" : "unknown", "");
        } else {
            double spread = 1 + mContext.random().nextDouble() * RETRY_SPREAD;
            long retry = (long) (Math.max(MIN_RETRY_MILLIS, mRetryAfterMillis) * spread);
            end(
                    new ClientReply.NotRun(mLatestRefusal, retry),
                    "refused",
                    mLatestRefusal + ", retry after " + retry + " ms");
        }
    }

    private void end(ClientReply reply, String outcome, String detail) {
        if (mEnded) {
            return;
        }
        finish(outcome, detail);
        mDone.accept(reply);
    }

    private void finish(String outcome, String detail) {
        mEnded = true;
        mOnFinished.accept(this);
        mTimeout.ifPresent(Cancellable::cancel);
        long millis = mContext.clock().monotonicMillis() - mStartMillis;
        mContext.log().ended(mRequest, mRoute.name(), outcome, () -> inputs(detail), millis);
    }

    private String inputs(String detail) {
        return detail
                + "; service "
                + mService
                + ", configuration "
                + mConfigVersion
                + ", known "
                + mContext.view().revision(DocumentKind.CONFIG)
                + ", tried "
                + mTried
                + " "
                + mSteps;
    }

    @Override
    public void cancel() {
        if (mEnded) {
            return;
        }
        countUnanswered();
        finish("cancelled", "the client is gone");
        mSending.ifPresent(Cancellable::cancel);
    }
}
