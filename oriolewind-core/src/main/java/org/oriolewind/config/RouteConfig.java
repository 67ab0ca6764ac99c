package org.oriolewind.config;

/**
 * A route from a path prefix to a service. Immutable.
 *
 * @param name the route's name
 * @param path the path prefix, starting with a slash
 * @param service the service's name
 * @param idempotent whether calls may be run more than once and so be retried
 */
public record RouteConfig(String name, String path, String service, boolean idempotent) {
    /**
     * Returns whether this route matches a path: one that equals the prefix or continues it after a
     * slash.
     *
     * @param callPath the path of a call
     * @return true if the path matches
     */
    public boolean matches(String callPath) {
        if (!callPath.startsWith(path)) {
            return false;
        }
        return callPath.length() == path.length()
                || path.endsWith("/")
                || callPath.charAt(path.length()) == '/';
    }
}
