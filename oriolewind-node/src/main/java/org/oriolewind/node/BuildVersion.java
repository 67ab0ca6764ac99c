package org.oriolewind.node;

/** The version of this build. Stateless. */
public final class BuildVersion {
    private BuildVersion() {}

    /**
     * Returns the version.
     *
     * @return the version in the jar's manifest, or {@code development}
     */
    public static String text() {
        String version = BuildVersion.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
