package org.oriolewind.request;

/** An operation in progress that can be cancelled. */
@FunctionalInterface
public interface Cancellable {
    /** Cancels the operation. Its answer is ignored if it still arrives. */
    void cancel();
}
