package org.oriolewind.backend;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlowStartLimiterTest {
    private static final long SECOND_MILLIS = 1000;

    /** Maximum delay between forwarding a request and its arrival at the backend server. */
    private static final int MAX_DELAY_MILLIS = 50;

    /**
     * All senders use backend servers that have just started. The limiter must never exceed the
     * slow start limit in any second of arrivals, and must use most of it.
     */
    @ParameterizedTest
    @CsvSource({"6.1, 1.5, 5", "6.1, 1.5, 8", "3.0, 1.5, 0", "20.0, 1.5, 5", "0.4, 1.5, 0"})
    void usesMostOfTheLimitAndNeverMore(double rate, double multiplier, double slack) {
        double limit = rate * multiplier + slack;
        SlowStartLimiter limiter = new SlowStartLimiter();
        Random random = new Random(1);
        List<Long> arrivals = new ArrayList<>();
        for (long now = 0; now < 20 * SECOND_MILLIS; now++) {
            int maxRequests = new SlowStartLimit(multiplier, slack).requests(rate);
            while (limiter.waitMillis(now, maxRequests) == 0) {
                limiter.onAdmitted(now);
                arrivals.add(now + random.nextInt(MAX_DELAY_MILLIS));
            }
        }
        arrivals.sort(null);
        for (int first = 0; first < arrivals.size(); first++) {
            long end = arrivals.get(first) + SECOND_MILLIS;
            long inSecond = arrivals.stream().skip(first).filter(a -> a < end).count();
            assertTrue(inSecond <= Math.max(1, limit), inSecond + " in a second, limit " + limit);
        }
        double used = arrivals.size() / 20.0;
        assertTrue(limit < 2 || used >= limit * 0.6, used + " per second, limit " + limit);
    }
}
