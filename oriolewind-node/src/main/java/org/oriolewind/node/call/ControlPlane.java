package org.oriolewind.node.call;

import java.util.function.Consumer;
import org.oriolewind.membership.MemberDirectory;
import org.oriolewind.wire.CallAnswer;
import org.oriolewind.wire.CallRequest;

/** What the request path needs of the control side. Safe for use by several threads. */
public interface ControlPlane {
    /**
     * Returns the members that take calls.
     *
     * @return an immutable view
     */
    MemberDirectory directory();

    /**
     * Returns whether the node may take calls.
     *
     * @return true once a configuration is in force
     */
    boolean isReady();

    /**
     * Takes word of a newer configuration at a peer.
     *
     * @param peerAddress the peer's address
     * @param version its configuration version
     */
    void onNewerVersion(String peerAddress, long version);

    /**
     * Takes a request to the key duty.
     *
     * @param request a request with a key operation
     * @param done called once with the answer, on any thread
     */
    void onKeyRequest(CallRequest request, Consumer<CallAnswer> done);

    /**
     * Returns the peer address of the holder of the key duty.
     *
     * @return the address, empty if unknown
     */
    String rolloutLeaderAddress();
}
