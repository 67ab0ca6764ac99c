package org.oriolewind.config;

/** The progress of a move. */
public enum MovePhase {
    /** Published, without a permitted share. */
    WAITING(true, "waiting"),
    /** Traffic moves step by step as the evidence permits. */
    MOVING(true, "moving"),
    /** The target share is reached and the new version is good. */
    DONE(false, "done"),
    /** Rolled back: the new version was found bad, and the shares are those before the move. */
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
     * Returns whether the move is in progress and determines the shares of its service.
     *
     * @return false if the move has ended
     */
    public boolean isActive() {
        return mActive;
    }

    /**
     * Returns the name that is shown to operators.
     *
     * @return the name in lower case with spaces
     */
    public String text() {
        return mText;
    }
}
