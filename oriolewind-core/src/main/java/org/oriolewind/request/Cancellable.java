package org.oriolewind.request;

/** A call that was sent and can be given up. */
@FunctionalInterface
public interface Cancellable {
    /** Gives the call up. Its answer, if one still comes, finds no taker. */
    void cancel();
}
