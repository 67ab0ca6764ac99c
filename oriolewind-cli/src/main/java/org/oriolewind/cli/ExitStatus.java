package org.oriolewind.cli;

/** Exit statuses of the command. */
public enum ExitStatus {
    /** All went well. */
    OK(0),
    /** Something failed that no other status covers, or a wait ran out of time. */
    FAILED(1),
    /** The input is wrong; nothing was done. */
    BAD_INPUT(2),
    /** Another operator's change came first; nothing was published. */
    LOST_RACE(3),
    /** The platform can't be reached; nothing was published. */
    UNREACHABLE(4),
    /** It is not known whether the change was published. */
    OUTCOME_UNKNOWN(5),
    /** A move that was waited for was taken back. */
    TAKEN_BACK(6);

    private final int mCode;

    ExitStatus(int code) {
        mCode = code;
    }

    /**
     * Returns the code for the shell.
     *
     * @return the code
     */
    public int code() {
        return mCode;
    }
}
