package org.oriolewind.node.call;

/** A call that was sent and can be given up. */
@FunctionalInterface
interface Cancellable {
    /** Gives the call up. Its answer, if one still comes, finds no taker. */
    void cancel();
}
