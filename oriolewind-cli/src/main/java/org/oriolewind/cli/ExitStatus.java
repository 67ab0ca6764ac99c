package org.oriolewind.cli;

/** Exit statuses of {@code oriolewind}. Scripts rely on the codes. */
public enum ExitStatus {
    /** The command succeeded. */
    OK(0),
    /** A failure that no other status covers, or a wait that timed out. */
    FAILED(1),
    /** The arguments or the input are invalid; nothing was done. */
    BAD_INPUT(2),
    /** A concurrent change by another operator was published first; this one was not. */
    LOST_RACE(3),
    /** The platform is unreachable; nothing was published. */
    UNREACHABLE(4),
    /** It is not known whether the change was published. */
    OUTCOME_UNKNOWN(5),
    /** A move that the command waited for was rolled back. */
    ROLLED_BACK(6);

    private final int mCode;

    ExitStatus(int code) {
        mCode = code;
    }

    /** Returns the exit code of the process, 0 for success. */
    public int code() {
        return mCode;
    }
}
