package org.oriolewind.dispatch;

/** Responses of a backend server that are logged although the request need not fail. Immutable. */
public enum UnusualResponse {
    /** It names another request, or none, and was dropped. */
    NOT_THE_ANSWER("dropped_response"),
    /** It has no length, so the end of its connection is the only sign that it is complete. */
    WITHOUT_LENGTH("response_without_length");

    private final String mMetric;

    UnusualResponse(String metric) {
        mMetric = metric;
    }

    /** Returns the name under which such responses are counted and logged. */
    public String metric() {
        return mMetric;
    }
}
