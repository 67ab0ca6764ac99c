package org.oriolewind.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.time.FakeClock;

class ServiceRetryBudgetTest {
    private static final int WINDOW_MILLIS = 10_000;
    private static final double SHARE = 0.2;
    private static final double ALLOWANCE = 60;

    /** Load pattern: every request fails, and all nodes want to repeat each of them. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 16, 84})
    void nodesTogetherStayWithinTheBoundInEveryWindow(int nodes) {
        FakeClock clock = new FakeClock();
        ServiceRetryBudget[] budgets = new ServiceRetryBudget[nodes];
        for (int i = 0; i < nodes; i++) {
            budgets[i] =
                    new ServiceRetryBudget(clock, SHARE, ALLOWANCE, WINDOW_MILLIS, () -> nodes);
        }
        int steps = 4000;
        int stepMillis = 10;
        int[] repeats = new int[steps];
        for (int step = 0; step < steps; step++) {
            ServiceRetryBudget budget = budgets[step % nodes];
            budget.onRequest("s");
            repeats[step] = budget.tryRetry("s") ? 1 : 0;
            clock.advanceMillis(stepMillis);
        }
        int perWindow = WINDOW_MILLIS / stepMillis;
        int all = 0;
        for (int start = 0; start + perWindow <= steps; start += 50) {
            int inWindow = 0;
            for (int step = start; step < start + perWindow; step++) {
                inWindow += repeats[step];
            }
            assertTrue(inWindow <= SHARE * perWindow + ALLOWANCE, inWindow + " from " + start);
            all += inWindow;
        }
        assertTrue(all > 0, "some repeats are made");
    }
}
