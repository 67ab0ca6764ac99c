package org.oriolewind.event;

/** The kinds of events that processes record. */
public enum EventKind {
    /** A process started. */
    NODE_STARTED,
    /** A process shuts down. */
    NODE_STOPPED,
    /** This process wrote a configuration version to the platform. */
    CONFIG_ACCEPTED,
    /** A configuration version is in force at this node. */
    CONFIG_APPLIED,
    /** A configuration version was rejected. */
    CONFIG_REFUSED,
    /** A lease was acquired. */
    LEASE_ACQUIRED,
    /** A lease is no longer held. */
    LEASE_LOST,
    /** A member's entry changed. */
    MEMBER_CHANGED,
    /** The parent of this node in the control tree changed, or the node became a root. */
    PARENT_CHANGED,
    /** A larger share was permitted for a move. */
    SHARE_PERMITTED,
    /** A move ended or missed its deadline. */
    VERDICT,
    /** This node stopped its calls to a new version because its own calls to it failed. */
    LOCAL_STOP,
    /** A call was received from a caller. */
    CALL_BEGUN,
    /** A call was sent to the node of a backend server. */
    CALL_SENT,
    /** A call was forwarded to the backend server. */
    CALL_HANDED_OVER,
    /** The response to a call was sent to the caller. */
    CALL_ANSWERED,
    /** A call was refused; it was not run. */
    CALL_REFUSED,
    /** The outcome of a call is unknown. */
    CALL_UNKNOWN,
    /** The node or its backend server accepts no new calls. */
    DRAIN_STARTED,
    /** All calls in progress have ended after the start of a drain. */
    DRAIN_ENDED,
    /** The platform became unreachable or reachable again. */
    PLATFORM_STATE
}
