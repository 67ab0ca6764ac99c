package org.oriolewind.policy;

import java.util.Optional;

/** The kinds of documents that operators write. */
public enum DocumentKind {
    /** Routes, services and limits, in a single document. */
    CONFIG("config"),
    /** Evacuated data centres, one document each. */
    EVACUATION("evacuations"),
    /** Rollouts of service versions, one document each. */
    ROLLOUT("rollouts");

    private final String mKey;

    DocumentKind(String key) {
        mKey = key;
    }

    /** Returns the name of the kind in the store and in messages. */
    public String key() {
        return mKey;
    }

    /**
     * Returns the kind with the given name.
     *
     * @param key the name of a kind in the store and in messages
     * @return the kind, empty if no kind has this name
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
