package org.oriolewind.platform;

import java.util.Optional;
import org.oriolewind.error.OperationException;

/**
 * The outcome of a {@link PlatformTask}: a value or an error. Immutable.
 *
 * @param <T> the type of the result
 * @param value the result of the task, null after an error
 * @param error the error, empty if the task succeeded
 */
public record PlatformResult<T>(T value, Optional<OperationException> error) {
    /**
     * Runs a task on the calling thread.
     *
     * @param <T> the type of the result
     * @param store the object store for the task
     * @return the result or the error
     */
    public static <T> PlatformResult<T> of(PlatformTask<T> task, ObjectStore store) {
        try {
            return new PlatformResult<>(task.run(store), Optional.empty());
        } catch (OperationException e) {
            return new PlatformResult<>(null, Optional.of(e));
        }
    }

    /** Returns whether the task succeeded. */
    public boolean isOk() {
        return error.isEmpty();
    }

    /**
     * Returns whether the task failed with a {@link PlatformException} of a kind.
     *
     * @return false if the task succeeded or failed for another reason
     */
    public boolean hasFailedWith(PlatformException.Kind kind) {
        return error.filter(e -> e instanceof PlatformException p && p.kind() == kind).isPresent();
    }
}
