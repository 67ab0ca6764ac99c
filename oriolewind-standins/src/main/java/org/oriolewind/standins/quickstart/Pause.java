package org.oriolewind.standins.quickstart;

/** Sleeps without a checked exception; an interrupt ends the sleep and is set again. Stateless. */
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
