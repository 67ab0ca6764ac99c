package org.oriolewind.time;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oriolewind.request.Cancellable;

/** Timers on a fake clock. Not safe for use by several threads. */
public final class FakeTimers implements Timers {
    private final FakeClock mClock;
    private final List<Entry> mEntries = new ArrayList<>();

    private record Entry(long atMillis, Runnable action) {}

    /**
     * Creates timers.
     *
     * @param clock the clock that they move
     */
    public FakeTimers(FakeClock clock) {
        mClock = clock;
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable action) {
        Entry entry = new Entry(mClock.monotonicMillis() + delayMillis, action);
        mEntries.add(entry);
        return () -> mEntries.remove(entry);
    }

    /**
     * Moves the clock and runs what becomes due, in order.
     *
     * @param millis how far
     */
    public void advance(long millis) {
        long end = mClock.monotonicMillis() + millis;
        while (true) {
            Entry next =
                    mEntries.stream()
                            .filter(e -> e.atMillis() <= end)
                            .min(Comparator.comparingLong(Entry::atMillis))
                            .orElse(null);
            if (next == null) {
                break;
            }
            mEntries.remove(next);
            mClock.advanceMillis(Math.max(0, next.atMillis() - mClock.monotonicMillis()));
            next.action().run();
        }
        mClock.advanceMillis(end - mClock.monotonicMillis());
    }
}
