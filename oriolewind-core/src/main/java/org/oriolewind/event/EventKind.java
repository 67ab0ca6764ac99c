package org.oriolewind.event;

/** The kinds of events that processes record. */
public enum EventKind {
    /** A process started. */
    NODE_STARTED,
    /** A process ends. */
    NODE_STOPPED,
    /** A configuration version was written to the platform by this process. */
    CONFIG_ACCEPTED,
    /** A configuration version is in force at this node. */
    CONFIG_APPLIED,
    /** A configuration version was kept out. */
    CONFIG_REFUSED,
    /** A lease was obtained. */
    LEASE_ACQUIRED,
    /** A lease is no longer held. */
    LEASE_LOST,
    /** A member's entry changed. */
    MEMBER_CHANGED,
    /** This node has another parent in the control tree, or became a root. */
    PARENT_CHANGED,
    /** A move got a larger share. */
    SHARE_PERMITTED,
    /** A move ended or became late. */
    VERDICT,
    /** This node stopped sending to a version on its own evidence. */
    LOCAL_STOP,
    /** A call came in from a caller. */
    CALL_BEGUN,
    /** A call was sent to the node of a backend server. */
    CALL_SENT,
    /** A call was handed to the backend server. */
    CALL_HANDED_OVER,
    /** A call's answer went to the caller. */
    CALL_ANSWERED,
    /** A call was refused as not run. */
    CALL_REFUSED,
    /** The end of a call is not known. */
    CALL_UNKNOWN,
    /** The node or its backend server takes no new work. */
    DRAIN_STARTED,
    /** All running calls have ended after a drain. */
    DRAIN_ENDED,
    /** The platform can't be reached or answers again. */
    PLATFORM_STATE
}
