package org.oriolewind.standins.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.cli.timeline.TimelineEvent;
import org.oriolewind.cli.timeline.TimelineReader;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.standins.quickstart.MeshProcesses.NodeProcess;

/** Queries the status and counters of the processes of a small mesh. Stateless. */
public final class MeshQueries {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    private MeshQueries() {}

    /**
     * Sends a GET request and returns the JSON body of the response, whatever its status.
     *
     * @throws IOException if there is no response within 5 s or its body is not JSON
     */
    public static JsonNode getJson(String url) throws IOException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(5)).build();
            HttpResponse<byte[]> response =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return JsonFormat.mapper().readTree(response.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Waits until every node is up, has applied a configuration and has at least as many members as
     * there are nodes.
     *
     * @param nodes the nodes, all started
     * @param timeoutMillis longest time to wait
     * @throws IOException if some node is not ready before the timeout
     */
    public static void awaitReady(List<NodeProcess> nodes, long timeoutMillis) throws IOException {
        long endMillis = System.currentTimeMillis() + timeoutMillis;
        while (!nodes.stream().allMatch(node -> isReady(node, nodes.size()))) {
            if (System.currentTimeMillis() > endMillis) {
                throw new IOException("the nodes are not ready in time");
            }
            Pause.forMillis(100);
        }
    }

    private static boolean isReady(NodeProcess node, int members) {
        try {
            JsonNode status = getJson(node.adminUrl() + "/status");
            return status.path("state").asText().equals("UP")
                    && status.path("configVersion").asLong() > 0
                    && status.path("members").asInt() >= members;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns the number of runs by request id, summed over the backend servers of all nodes. Ids
     * that never ran are absent.
     *
     * @throws IOException if a backend server doesn't respond
     */
    public static Map<String, Integer> runsByRequestId(List<NodeProcess> nodes) throws IOException {
        Map<String, Integer> runs = new HashMap<>();
        for (NodeProcess node : nodes) {
            JsonNode counts = getJson(node.backendUrl() + "/control/counts");
            counts.path("runs")
                    .properties()
                    .forEach(e -> runs.merge(e.getKey(), e.getValue().asInt(), Integer::sum));
        }
        return runs;
    }

    /**
     * Returns the time from the publication of a configuration version until the last node applied
     * it, in milliseconds. Nodes that skipped the version are left out; 0 if no node applied it.
     *
     * @param eventFiles the event files of all nodes
     * @param publishedAt when the version was published, by the same clock as the events
     * @throws IOException if a file can't be read
     */
    public static long convergenceMillis(List<Path> eventFiles, long version, Instant publishedAt)
            throws IOException {
        long latestMillis = 0;
        for (TimelineEvent event : TimelineReader.read(eventFiles)) {
            boolean applied =
                    event.text("kind").equals("CONFIG_APPLIED") && event.number("value") >= version;
            if (applied && event.number("value") == version) {
                Instant at = Instant.parse(event.text("at"));
                latestMillis = Math.max(latestMillis, Duration.between(publishedAt, at).toMillis());
            }
        }
        return latestMillis;
    }
}
