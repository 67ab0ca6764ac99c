import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store as PROTOCOL.md describes it: objects by kind and name, one revision counter,
 * conditional writes, lists and watches.
 */
final class Store {
    /** One address of the store, which may be silent to the machines that call it there. */
    final class Front extends HttpPeer {
        private volatile long mSilentUntilNanos = System.nanoTime();
        private volatile Runnable mAfterStaleRead = () -> {};

        private Front() throws IOException {
            super(0);
        }

        /**
         * Gives no answer here for a time. A connection on which an answer is lost returns nothing
         * further; other addresses and the operator are still served.
         */
        void silence(long millis) {
            mSilentUntilNanos = System.nanoTime() + millis * 1_000_000;
        }

        private boolean isSilent() {
            return System.nanoTime() < mSilentUntilNanos;
        }

        /** Sets an action that runs once, right after the next stale read was answered. */
        void setAfterStaleRead(Runnable action) {
            mAfterStaleRead = action;
        }

        private void staleReadAnswered() {
            Runnable action = mAfterStaleRead;
            mAfterStaleRead = () -> {};
            action.run();
        }

        @Override
        void handle(Message request, Connection connection)
                throws IOException, InterruptedException {
            Store.this.handle(request, connection, this);
        }
    }

    /** One object; spec and status are JSON text. */
    private static final class Item {
        String mKind;
        String mName;
        String mSpec = "null";
        String mStatus = "null";
        long mRevision;
        long mCreated;

        String json() {
            return "{\"metadata\":{\"name\":\"" + mName + "\",\"revision\":" + mRevision
                    + ",\"created\":" + mCreated
                    + ",\"finalizers\":[],\"delete_requested\":false},\"spec\":" + mSpec
                    + ",\"status\":" + mStatus + "}";
        }
    }

    private record Event(long revision, String kind, String json) {}

    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private final Map<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private long mRevision = 100;

    /** Opens an address of the store. */
    Front open() throws IOException {
        return new Front();
    }

    /** Writes a spec as the operator does. */
    synchronized long put(String kind, String name, String spec) {
        Item item = mItems.get(kind + "/" + name);
        if (item == null) {
            item = new Item();
            item.mKind = kind;
            item.mName = name;
            item.mCreated = mRevision + 1;
            mItems.put(kind + "/" + name, item);
        }
        item.mSpec = spec;
        changed(item, false);
        return mRevision;
    }

    /** Deletes an object as the operator does. */
    synchronized void delete(String kind, String name) {
        Item item = mItems.remove(kind + "/" + name);
        if (item != null) {
            long last = item.mRevision;
            changed(item, true);
            item.mRevision = last;
        }
    }

    /** Returns an object, or null. */
    synchronized String get(String kind, String name) {
        Item item = mItems.get(kind + "/" + name);
        return item == null ? null : item.json();
    }

    private void changed(Item item, boolean deleted) {
        mRevision++;
        long last = item.mRevision;
        item.mRevision = deleted ? last : mRevision;
        mEvents.add(
                new Event(
                        mRevision,
                        item.mKind,
                        "{\"is_deleted\":" + deleted + ",\"object\":" + item.json() + "}"));
        notifyAll();
    }

    private void handle(
            HttpPeer.Message request, HttpPeer.Connection connection, Front front)
            throws IOException, InterruptedException {
        Thread.sleep(ANSWER_MILLIS);
        if (front.isSilent()) {
            drop(connection);
            return;
        }
        String target = request.target();
        String query = target.contains("?") ? target.substring(target.indexOf('?') + 1) : "";
        String[] path = target.split("\\?")[0].split("/");
        String kind = path[2];
        switch (request.method()) {
            case "GET" -> {
                if (query.contains("watch=")) {
                    watch(kind, number(query, "watch"), number(query, "wait_ms"), connection, front);
                } else {
                    list(kind, text(query, "after"), connection);
                    if (query.contains("allow_stale=1")) {
                        front.staleReadAnswered();
                    }
                }
            }
            case "POST" -> create(kind, request.text(), connection);
            case "PUT" -> replace(kind, path, request.text(), connection);
            default -> connection.answer(405, bytes("{}"));
        }
    }

    /** Answers nothing further on a connection until the other side closes it. */
    private static void drop(HttpPeer.Connection connection) throws IOException {
        while (connection.mSocket.getInputStream().read() >= 0) {
            // What is sent on this connection is not answered.
        }
        throw new IOException("connection closed");
    }

    private static long number(String query, String name) {
        Matcher matcher = Pattern.compile("(^|&)" + name + "=(\\d+)").matcher(query);
        return matcher.find() ? Long.parseLong(matcher.group(2)) : 0;
    }

    private static String text(String query, String name) {
        Matcher matcher = Pattern.compile("(^|&)" + name + "=([^&]*)").matcher(query);
        return matcher.find() ? URLDecoder.decode(matcher.group(2), StandardCharsets.UTF_8) : "";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void watch(
            String kind,
            long after,
            long waitMillis,
            HttpPeer.Connection connection,
            Front front)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        StringBuilder body = new StringBuilder("{\"events\":[");
        synchronized (this) {
            while (true) {
                int count = 0;
                for (Event event : mEvents) {
                    if (event.revision() > after && event.kind().equals(kind)) {
                        body.append(count++ > 0 ? "," : "").append(event.json());
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (count > 0 || left <= 0) {
                    break;
                }
                wait(left);
            }
            body.append("],\"store_revision\":").append(mRevision).append("}");
        }
        Thread.sleep(ANSWER_MILLIS);
        if (front.isSilent()) {
            drop(connection);
            return;
        }
        connection.answer(200, bytes(body.toString()), "Content-Type", "application/json");
    }

    private void list(String kind, String after, HttpPeer.Connection connection) throws IOException {
        StringBuilder body = new StringBuilder("{\"items\":[");
        synchronized (this) {
            int count = 0;
            boolean hasMore = false;
            for (Item item : mItems.values()) {
                if (!item.mKind.equals(kind) || item.mName.compareTo(after) <= 0) {
                    continue;
                }
                if (count == PAGE_ITEMS || body.length() >= PAGE_BYTES) {
                    hasMore = true;
                    break;
                }
                body.append(count++ > 0 ? "," : "").append(item.json());
            }
            body.append("],\"has_more\":").append(hasMore);
            body.append(",\"store_revision\":").append(mRevision).append("}");
        }
        connection.answer(200, bytes(body.toString()), "Content-Type", "application/json");
    }

    private static String field(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        return matcher.find() ? matcher.group(1) : null;
    }

    /** Returns the JSON object that is the value of a top-level field of what the nodes write. */
    private static String object(String text, String name) {
        int at = text.indexOf("\"" + name + "\":{");
        if (at < 0) {
            return "null";
        }
        int start = at + name.length() + 3;
        int depth = 0;
        for (int i = start; i < text.length(); i++) {
            depth += text.charAt(i) == '{' ? 1 : text.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return text.substring(start, i + 1);
            }
        }
        return "null";
    }

    private void create(String kind, String body, HttpPeer.Connection connection) throws IOException {
        String name = field(body, "\"name\":\"([^\"]*)\"");
        String answer;
        int status;
        synchronized (this) {
            status = mItems.containsKey(kind + "/" + name) ? 409 : 201;
            if (status == 201) {
                put(kind, name, object(body, "spec"));
            }
            answer = mItems.get(kind + "/" + name).json();
        }
        connection.answer(status, bytes(answer), "Content-Type", "application/json");
    }

    private void replace(String kind, String[] path, String body, HttpPeer.Connection connection)
            throws IOException {
        String revision = field(body, "\"revision\":(\\d+)");
        String answer = "{}";
        int status = 404;
        synchronized (this) {
            Item item = mItems.get(kind + "/" + path[3]);
            if (item != null) {
                boolean matches = revision == null || item.mRevision == Long.parseLong(revision);
                status = matches ? 200 : 409;
                if (matches && path.length > 4) {
                    item.mStatus = object(body, "status");
                    changed(item, false);
                } else if (matches) {
                    item.mSpec = object(body, "spec");
                    changed(item, false);
                }
                answer = item.json();
            }
        }
        connection.answer(status, bytes(answer), "Content-Type", "application/json");
    }
}
