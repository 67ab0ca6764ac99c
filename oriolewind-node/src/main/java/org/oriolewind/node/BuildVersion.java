package org.oriolewind.node;

/** The version of this build. Stateless. */
public final class BuildVersion {
    private BuildVersion() {}

    /**
     * Returns the version from the manifest of the jar file, or {@code development} if the classes
     * don't come from a jar file.
     */
    public static String text() {
        String version = BuildVersion.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
