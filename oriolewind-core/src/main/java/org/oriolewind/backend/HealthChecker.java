package org.oriolewind.backend;

import java.util.Optional;
import java.util.function.Consumer;

/** Sends health checks to the backend server beside this node. Implementations never block. */
@FunctionalInterface
public interface HealthChecker {
    /**
     * Sends one health check.
     *
     * @param path path of the health check endpoint
     * @param done called once with the result, empty if there was no answer
     */
    void check(String path, Consumer<Optional<HealthCheckResult>> done);
}
