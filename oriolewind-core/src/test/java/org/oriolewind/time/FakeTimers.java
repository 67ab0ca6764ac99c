package org.oriolewind.time;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oriolewind.request.Cancellable;

/** Timers driven by a fake clock. Not thread-safe. */
public final class FakeTimers implements Timers {
    private final FakeClock mClock;
    private final List<ScheduledAction> mScheduled = new ArrayList<>();

    private record ScheduledAction(long atMillis, Runnable action) {}

    /**
     * Creates timers with no action scheduled.
     *
     * @param clock the clock that {@link #advance} advances
     */
    public FakeTimers(FakeClock clock) {
        mClock = clock;
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable action) {
        ScheduledAction scheduled =
                new ScheduledAction(mClock.monotonicMillis() + delayMillis, action);
        mScheduled.add(scheduled);
        return () -> mScheduled.remove(scheduled);
    }

    /**
     * Advances the clock and runs the actions that become due, each at its time and in order.
     *
     * @param millis the milliseconds to advance
     */
    public void advance(long millis) {
        long end = mClock.monotonicMillis() + millis;
        while (true) {
            ScheduledAction next =
                    mScheduled.stream()
                            .filter(e -> e.atMillis() <= end)
                            .min(Comparator.comparingLong(ScheduledAction::atMillis))
                            .orElse(null);
            if (next == null) {
                break;
            }
            mScheduled.remove(next);
            mClock.advanceMillis(Math.max(0, next.atMillis() - mClock.monotonicMillis()));
            next.action().run();
        }
        mClock.advanceMillis(end - mClock.monotonicMillis());
    }
}
