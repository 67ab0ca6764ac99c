package org.oriolewind.node.call;

import java.util.function.Consumer;
import org.oriolewind.membership.MemberDirectory;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/** Operations of the control plane that the request path uses. Thread-safe. */
public interface ControlPlane {
    /**
     * Returns the members that accept calls.
     *
     * @return an immutable snapshot
     */
    MemberDirectory directory();

    /**
     * Returns whether the node may accept calls.
     *
     * @return true once a configuration is in force
     */
    boolean isReady();

    /**
     * Reports that a peer has a newer configuration.
     *
     * @param peerAddress address of the peer
     * @param version configuration version of the peer
     */
    void onNewerVersion(String peerAddress, long version);

    /**
     * Handles a request for the leader that manages claims of idempotency keys.
     *
     * @param request a request with a key operation
     * @param done called once with the answer, on any thread
     */
    void onKeyRequest(CallRequest request, Consumer<CallAnswer> done);

    /**
     * Returns the peer address of the rollout leader, which also manages claims of idempotency
     * keys.
     *
     * @return the address, empty if unknown
     */
    String rolloutLeaderAddress();
}
