package org.oriolewind.config;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.oriolewind.time.FakeClock;

/** Notes and configurations for tests. Stateless. */
public final class TestNotes {
    /**
     * A note that adds two services with a route each, and a second version of the first service.
     */
    public static final String BASE =
            """
            {"id": "base",
             "services": {"added": [
               {"name": "holders", "shares": {"v1": 100}},
               {"name": "press", "shares": {"v1": 60, "v2": 40}}]},
             "versions": {"added": [{"service": "holders", "version": "v2"}]},
             "routes": {"added": [
               {"name": "lookup", "path": "/holders", "service": "holders", "idempotent": true},
               {"name": "print", "path": "/print", "service": "press", "idempotent": false}]}}
            """;

    private TestNotes() {}

    /**
     * Returns a note that moves the first service to its second version.
     *
     * @param by the deadline
     * @return the note's text
     */
    public static String move(String id, Instant by) {
        return String.format(
                """
                {"id": "%s", "moves": [{"service": "holders", "from": "v1", "to": "v2",
                 "share": 100, "by": "%s"}]}
                """,
                id, by);
    }

    /**
     * Reads a note.
     *
     * @throws NoteException if the text is not a valid note
     */
    public static ReleaseNote read(String json) throws NoteException {
        return NoteReader.read(json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Applies notes one after another.
     *
     * @throws Exception if a note is not valid
     */
    public static MeshConfig config(Instant now, String... notes) throws Exception {
        MeshConfig config = MeshConfig.EMPTY;
        for (String note : notes) {
            ConfigEntries draft = config.edit();
            new NoteEdit(read(note)).apply(config, draft, now);
            config = draft.build(config.version() + 1);
        }
        return config;
    }

    /**
     * Returns the configuration of {@link #BASE}.
     *
     * @return version 1
     * @throws Exception never
     */
    public static MeshConfig base() throws Exception {
        return config(new FakeClock().instant(), BASE);
    }
}
