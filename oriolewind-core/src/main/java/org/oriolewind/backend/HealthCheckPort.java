package org.oriolewind.backend;

import java.util.Optional;
import java.util.function.Consumer;

/** Makes health checks of the backend server beside this node. Implementations never block. */
@FunctionalInterface
public interface HealthCheckPort {
    /**
     * Checks the backend server.
     *
     * @param path path of its health check
     * @param done takes the result, empty if there was no answer
     */
    void check(String path, Consumer<Optional<HealthCheckResult>> done);
}
