package org.oriolewind.node.call;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/** Random generator that uses the thread-local generator of the calling thread. Thread-safe. */
enum ThreadLocalRandomGenerator implements RandomGenerator {
    /** The only instance. */
    INSTANCE;

    @Override
    public long nextLong() {
        return ThreadLocalRandom.current().nextLong();
    }
}
