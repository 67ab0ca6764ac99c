package org.oriolewind.standins.quickstart;

/** Waits. Stateless. */
final class Pause {
    private Pause() {}

    static void forMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
