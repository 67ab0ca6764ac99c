package org.oriolewind.policy;

import java.util.Optional;

/** The kinds of documents that operators write. */
public enum DocumentKind {
    /** Routes, services and limits. */
    CONFIG("config"),
    /** Data centres that are out. */
    EVACUATION("evacuations"),
    /** Trials of versions. */
    ROLLOUT("rollouts");

    private final String mKey;

    DocumentKind(String key) {
        mKey = key;
    }

    /**
     * Returns the name of the kind in stores and messages.
     *
     * @return the name
     */
    public String key() {
        return mKey;
    }

    /**
     * Finds a kind by its name.
     *
     * @param key the name
     * @return the kind, empty if it is unknown
     */
    public static Optional<DocumentKind> ofKey(String key) {
        for (DocumentKind kind : values()) {
            if (kind.mKey.equals(key)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
