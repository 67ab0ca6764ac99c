package org.oriolewind.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.oriolewind.analysis.EvidenceKey;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.Move;
import org.oriolewind.config.RouteConfig;
import org.oriolewind.config.ServiceConfig;
import org.oriolewind.event.Event;
import org.oriolewind.event.EventKind;
import org.oriolewind.routing.PeerLoad;
import org.oriolewind.routing.RetryPolicy;
import org.oriolewind.routing.VersionSelector;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallOutcome;
import org.oriolewind.wire.CallRequest;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.NotRunReason;

/**
 * A caller's call in progress, dispatched under the configuration that was in force when it
 * arrived. Attempts are sequential and at most one is open at a time. Confined to one thread at a
 * time.
 */
final class DispatchedCall {
    private static final long SUSPECT_BASE_MILLIS = 200;
    private static final long SUSPECT_MAX_MILLIS = 5000;
    private static final int SERVER_ERROR = 500;

    private final CallDispatcher mDispatcher;
    private final MeshConfig mConfig;
    private final RouteConfig mRoute;
    private final ServiceConfig mService;
    private final CallerCall mCall;
    private final Consumer<CallResult> mDone;
    private final Set<String> mTried = new HashSet<>();
    private final long mStartNanos;
    private Optional<String> mVersion = Optional.empty();
    private CallAnswer mLatestAnswer = CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_UNREACHABLE);
    private int mAttempts;

    DispatchedCall(
            CallDispatcher dispatcher,
            MeshConfig config,
            RouteConfig route,
            ServiceConfig service,
            CallerCall call,
            Consumer<CallResult> done) {
        mDispatcher = dispatcher;
        mConfig = config;
        mRoute = route;
        mService = service;
        mCall = call;
        mDone = done;
        mStartNanos = dispatcher.context().clock().monotonicNanos();
        recordEvent(
                EventKind.CALL_BEGUN,
                null,
                mConfig.version(),
                mRoute.idempotent() ? "idempotent" : "once");
    }

    private long timeLeftMillis() {
        return mCall.deadlineMillis() - mDispatcher.context().clock().monotonicMillis();
    }

    void send() {
        if (timeLeftMillis() <= 0) {
            // No attempt is open: the last one, if any, proved that the call was not run.
            end(CallAnswers.notRun(NotRunReason.NOT_RUN_REASON_EXPIRED));
            return;
        }
        Optional<Member> target = selectTarget();
        if (target.isEmpty()) {
            end(mLatestAnswer);
            return;
        }
        sendTo(target.get());
    }

    private Optional<Member> selectTarget() {
        mVersion =
                VersionSelector.select(
                        shares(),
                        version -> endpoint(version).isPresent(),
                        mDispatcher.context().random());
        return mVersion.flatMap(this::endpoint);
    }

    /**
     * Returns the version shares in force, or those from before the move if this node has stopped
     * its calls to the new version.
     */
    private SortedMap<String, Integer> shares() {
        boolean stopped =
                mConfig.activeMove(mService.name())
                        .filter(mDispatcher.stops()::isStopped)
                        .isPresent();
        return stopped
                ? mService.sharesBps()
                : mConfig.sharesAt(mService, mDispatcher.context().clock().instant());
    }

    private Optional<Member> endpoint(String version) {
        return mDispatcher
                .endpointSelector()
                .select(
                        mDispatcher.directory().up(mService.name(), version),
                        mConfig,
                        mTried,
                        mDispatcher.context().random(),
                        mDispatcher.context().clock().monotonicMillis());
    }

    private void sendTo(Member target) {
        mAttempts++;
        mTried.add(target.getNode());
        PeerLoad load = mDispatcher.endpointSelector().load(target.getNode());
        load.onSent();
        recordEvent(EventKind.CALL_SENT, target.getNode(), mAttempts, null);
        mDispatcher.sendTo(target, request(), answer -> onAnswer(target, load, answer));
    }

    private CallRequest request() {
        return CallRequest.newBuilder()
                .setService(mService.name())
                .setServiceVersion(mVersion.orElseThrow())
                .setRoute(mRoute.name())
                .setMethod(mCall.method())
                .setPath(mCall.pathAndQuery())
                .addAllHeaders(mCall.headers())
                .setBody(mCall.body())
                .setTimeoutMillis((int) timeLeftMillis())
                .setHops(mCall.hops() + 1)
                .setIdempotent(mRoute.idempotent())
                .setIdempotencyKey(mCall.idempotencyKey().orElse(""))
                .setCallId(mCall.id())
                .build();
    }

    private void onAnswer(Member target, PeerLoad load, CallAnswer answer) {
        long now = mDispatcher.context().clock().monotonicMillis();
        load.onEnded();
        if (answer.getLimit() > 0) {
            load.onReport(answer.getLimit(), answer.getInFlight(), now);
        }
        boolean unreachable =
                answer.getNotRunReason() == NotRunReason.NOT_RUN_REASON_UNREACHABLE
                        || answer.getNotRunReason() == NotRunReason.NOT_RUN_REASON_WRONG_TARGET
                        || answer.getNotRunReason() == NotRunReason.NOT_RUN_REASON_LEAVING
                        || answer.getOutcome() == CallOutcome.CALL_OUTCOME_UNKNOWN;
        if (unreachable) {
            load.onUnreachable(now, SUSPECT_BASE_MILLIS, SUSPECT_MAX_MILLIS);
        }
        recordEvidence(answer);
        mLatestAnswer = answer;
        boolean retry =
                RetryPolicy.shouldRetry(
                        answer,
                        mRoute.idempotent(),
                        mAttempts,
                        timeLeftMillis(),
                        mDispatcher.retryBudget());
        if (retry) {
            mDispatcher.context().observer().onRetry();
            send();
        } else {
            end(answer);
        }
    }

    private void recordEvidence(CallAnswer answer) {
        Optional<Move> move =
                mConfig.monitoredMove(mService.name(), mDispatcher.context().clock().instant());
        if (move.isEmpty()) {
            return;
        }
        EvidenceKey key = new EvidenceKey(mService.name(), mVersion.orElseThrow(), mRoute.name());
        if (answer.getOutcome() == CallOutcome.CALL_OUTCOME_NOT_RUN) {
            mDispatcher.evidence().addRefusal(key);
            return;
        }
        boolean failed =
                answer.getOutcome() == CallOutcome.CALL_OUTCOME_UNKNOWN
                        || answer.getStatus() >= SERVER_ERROR;
        mDispatcher.evidence().addCall(key, failed, answer.getCold(), answer.getServiceMicros());
        mDispatcher.stops().onCall(move.get(), key, failed);
    }

    private void end(CallAnswer answer) {
        EventKind kind =
                switch (answer.getOutcome()) {
                    case CALL_OUTCOME_ANSWERED -> EventKind.CALL_ANSWERED;
                    case CALL_OUTCOME_NOT_RUN -> EventKind.CALL_REFUSED;
                    default -> EventKind.CALL_UNKNOWN;
                };
        String detail =
                answer.getOutcome() == CallOutcome.CALL_OUTCOME_NOT_RUN
                        ? answer.getNotRunReason().name()
                        : null;
        recordEvent(kind, null, answer.getStatus(), detail);
        long nanos = mDispatcher.context().clock().monotonicNanos() - mStartNanos;
        mDispatcher.context().observer().onEnded(answer.getOutcome(), nanos);
        mDone.accept(CallResult.ended(answer, mVersion));
    }

    private void recordEvent(EventKind kind, String peer, long value, String detail) {
        mDispatcher
                .context()
                .events()
                .record(
                        mCall.id(),
                        () ->
                                Event.ofCall(
                                        kind,
                                        mCall.id(),
                                        mService.name(),
                                        mVersion.orElse(null),
                                        mRoute.name(),
                                        peer,
                                        value,
                                        detail));
    }
}
