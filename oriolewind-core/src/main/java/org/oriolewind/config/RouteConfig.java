package org.oriolewind.config;

/**
 * A route: which service answers the paths under a prefix. Immutable.
 *
 * @param name the route's name
 * @param path the prefix of the paths, starting with a slash
 * @param service the service's name
 * @param idempotent whether calls may be run more than once
 */
public record RouteConfig(String name, String path, String service, boolean idempotent) {
    /**
     * Returns whether this route covers a path. A prefix covers itself and what follows after a
     * slash.
     *
     * @param callPath the path of a call
     * @return true if the path is covered
     */
    public boolean covers(String callPath) {
        if (!callPath.startsWith(path)) {
            return false;
        }
        return callPath.length() == path.length()
                || path.endsWith("/")
                || callPath.charAt(path.length()) == '/';
    }
}
