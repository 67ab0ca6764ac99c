package org.oriolewind.backend;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlowStartLimiterTest {
    private static final long SECOND_MILLIS = 1000;

    /** Time by which a request may arrive later than it was handed over. */
    private static final int MAX_DELAY_MILLIS = 50;

    /** Load pattern: all senders turn to backend servers that have just started. */
    @ParameterizedTest
    @CsvSource({"6.1, 1.5, 5", "6.1, 1.5, 8", "3.0, 1.5, 0", "20.0, 1.5, 5", "0.4, 1.5, 0"})
    void usesMostOfTheBoundAndNeverMore(double rate, double multiplier, double slack) {
        double bound = rate * multiplier + slack;
        SlowStartLimiter limiter = new SlowStartLimiter();
        Random random = new Random(1);
        List<Long> arrivals = new ArrayList<>();
        for (long now = 0; now < 20 * SECOND_MILLIS; now++) {
            int room = new SlowStartLimit(multiplier, slack).requests(rate);
            while (limiter.waitMillis(now, room) == 0) {
                limiter.onAdmitted(now);
                arrivals.add(now + random.nextInt(MAX_DELAY_MILLIS));
            }
        }
        arrivals.sort(null);
        for (int first = 0; first < arrivals.size(); first++) {
            long end = arrivals.get(first) + SECOND_MILLIS;
            long inSecond = arrivals.stream().skip(first).filter(a -> a < end).count();
            assertTrue(inSecond <= Math.max(1, bound), inSecond + " in a second of " + bound);
        }
        double used = arrivals.size() / 20.0;
        assertTrue(bound < 2 || used >= bound * 0.6, used + " a second of " + bound);
    }
}
