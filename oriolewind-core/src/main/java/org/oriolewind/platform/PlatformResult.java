package org.oriolewind.platform;

import java.util.Optional;
import org.oriolewind.error.OperationException;

/**
 * The end of a {@link PlatformTask}: a result or an error. Immutable.
 *
 * @param <T> the type of the result
 * @param value the result, null if there was an error
 * @param error the error, empty if there is a result
 */
public record PlatformResult<T>(T value, Optional<OperationException> error) {
    /**
     * Runs a task to its end.
     *
     * @param <T> the type of the result
     * @param task the task
     * @param store the platform
     * @return the reply
     */
    public static <T> PlatformResult<T> of(PlatformTask<T> task, ObjectStore store) {
        try {
            return new PlatformResult<>(task.run(store), Optional.empty());
        } catch (OperationException e) {
            return new PlatformResult<>(null, Optional.of(e));
        }
    }

    /**
     * Returns whether the task succeeded.
     *
     * @return true if there is a result
     */
    public boolean isOk() {
        return error.isEmpty();
    }

    /**
     * Returns whether the platform itself gave an error of a kind.
     *
     * @param kind the kind
     * @return true if so
     */
    public boolean failedWith(PlatformException.Kind kind) {
        return error.filter(e -> e instanceof PlatformException p && p.kind() == kind).isPresent();
    }
}
