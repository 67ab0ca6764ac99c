package org.oriolewind.standins.quickstart;

import java.time.Instant;

/** The release notes that the quickstart publishes, as JSON. Stateless. */
final class QuickstartReleaseNotes {
    private QuickstartReleaseNotes() {}

    static String initialNote() {
        return """
        {"id": "first",
         "services": {"added": [
           {"name": "holders", "shares": {"v1": 100}},
           {"name": "press", "shares": {"v1": 100}}]},
         "routes": {"added": [
           {"name": "lookup", "path": "/holders", "service": "holders", "idempotent": true},
           {"name": "print", "path": "/print", "service": "press", "idempotent": false},
           {"name": "progress", "path": "/progress", "service": "press",
            "idempotent": true}]}}
        """;
    }

    static String rolloutNote(String id, String service, String from, String to, Instant deadline) {
        return String.format(
                """
                {"id": "%s",
                 "versions": {"added": [{"service": "%s", "version": "%s"}]},
                 "moves": [{"service": "%s", "from": "%s", "to": "%s", "share": 100, "by": "%s"}]}
                """,
                id, service, to, service, from, to, deadline);
    }
}
