import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What was sent, answered and run, with the time since the start. Thread-safe. */
final class Record {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mWriter;
    private final Map<String, Long> mRunStarts = new ConcurrentHashMap<>();
    private final Map<String, List<String>> mRuns = new ConcurrentHashMap<>();

    Record(Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long millis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        mWriter.printf(Locale.ROOT, "%9.3f %s%n", millis() / 1000.0, text);
        mWriter.flush();
    }

    void onRun(String id, String instance) {
        mRunStarts.putIfAbsent(id, millis());
        mRuns.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>()).add(instance);
    }

    /** Returns when a request began to run first, or -1. */
    long runStartMillis(String id) {
        return mRunStarts.getOrDefault(id, -1L);
    }

    /** Returns the instances that have run a request, in order. */
    List<String> runs(String id) {
        return mRuns.getOrDefault(id, List.of());
    }
}
