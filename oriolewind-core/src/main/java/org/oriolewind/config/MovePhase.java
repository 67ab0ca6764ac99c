package org.oriolewind.config;

/** How far a move is. Each phase knows whether the move still shifts traffic. */
public enum MovePhase {
    /** Published; no share permitted yet. */
    WAITING(true, "waiting"),
    /** Traffic shifts as evidence permits. */
    MOVING(true, "moving"),
    /** The target share is reached and proved. */
    DONE(false, "done"),
    /** The new version was found bad and carries nothing. */
    TAKEN_BACK(false, "taken back"),
    /** A later note replaced the move. */
    SUPERSEDED(false, "superseded");

    private final boolean mActive;
    private final String mText;

    MovePhase(boolean active, String text) {
        mActive = active;
        mText = text;
    }

    /**
     * Returns whether the move still decides shares.
     *
     * @return true if so
     */
    public boolean isActive() {
        return mActive;
    }

    /**
     * Returns the name for a person.
     *
     * @return the name in lower case
     */
    public String text() {
        return mText;
    }
}
