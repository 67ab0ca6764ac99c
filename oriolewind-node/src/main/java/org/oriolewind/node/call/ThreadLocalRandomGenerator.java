package org.oriolewind.node.call;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/** The random source of whichever thread asks. Safe for use by several threads. */
enum ThreadLocalRandomGenerator implements RandomGenerator {
    /** The only instance. */
    INSTANCE;

    @Override
    public long nextLong() {
        return ThreadLocalRandom.current().nextLong();
    }
}
