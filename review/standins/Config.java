import java.util.ArrayList;
import java.util.List;

/** Builds configurations like those of the operator. */
final class Config {
    static final String HOST = "hulo84.example";

    private final List<String> mResources = new ArrayList<>();

    Config route(String path, String kind, double timeoutSeconds, String service) {
        return route(path, kind, timeoutSeconds, service, 2);
    }

    Config route(
            String path, String kind, double timeoutSeconds, String service, int priority) {
        mResources.add(
                "{\"type\":\"routes\",\"metadata\":{\"name\":\"r-" + path + "\"},\"spec\":{\"host\":\""
                        + HOST + "\",\"path_prefix\":\"/" + path + "/\",\"kind\":\"" + kind
                        + "\",\"timeout_s\":" + timeoutSeconds
                        + ",\"target_latency_s\":" + 0.6 * timeoutSeconds + ",\"priority\":"
                        + priority + ",\"service\":\"" + service
                        + "\",\"max_attempts\":2}}");
        return this;
    }

    Config service(String name) {
        mResources.add(
                "{\"type\":\"services\",\"metadata\":{\"name\":\"" + name
                        + "\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":120,"
                        + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,"
                        + "\"cold_per_s\":6.1}}");
        return this;
    }

    String build(long version) {
        return "{\"version\":" + version + ",\"resources\":[" + String.join(",", mResources)
                + ",{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}]}";
    }
}
