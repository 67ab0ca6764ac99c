package org.oriolewind.platform;

import org.oriolewind.error.OperationException;

/**
 * Work that talks to the platform. It runs on a thread of its own and must not touch the state of
 * the control thread.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
public interface PlatformTask<T> {
    /**
     * Does the work.
     *
     * @param store the platform
     * @return the result
     * @throws OperationException if the platform refuses or can't be reached, or an answer is
     *     unusable
     */
    T run(ObjectStore store) throws OperationException;
}
