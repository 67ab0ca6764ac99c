package org.oriolewind.platform;

import org.oriolewind.error.OperationException;

/**
 * A task that calls the platform. It runs outside the control thread and must not access the state
 * of that thread.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
public interface PlatformTask<T> {
    /**
     * Runs the task.
     *
     * @param store the object store of the platform
     * @return the result
     * @throws OperationException if the platform can't be reached or rejects a call, or if its
     *     response is not valid
     */
    T run(ObjectStore store) throws OperationException;
}
