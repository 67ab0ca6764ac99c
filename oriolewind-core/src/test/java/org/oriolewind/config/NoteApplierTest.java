package org.oriolewind.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.time.FakeClock;

class NoteApplierTest {
    private static final Instant NOW = new FakeClock().instant();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\0',
            textBlock =
"""
{"id": "n", "moves": [{"service": "holders", "from": "v1", "to": "v2", "share": 130, "by": "2027-01-01T00:00:00Z"}]} | moves[0].share: 130 is over 100
{"id": "n", "moves": [{"service": "holders", "from": "v1", "to": "v2", "share": -1, "by": "2027-01-01T00:00:00Z"}]} | moves[0].share: -1 is under 0
{"id": "n", "moves": [{"service": "holders", "from": "v1", "to": "v2", "share": 0, "by": "2027-01-01T00:00:00Z"}]} | moves[0].share: must be over the present 0%
{"id": "n", "moves": [{"service": "press", "from": "v1", "to": "v2", "share": 30, "by": "2027-01-01T00:00:00Z"}]} | moves[0].share: must be over the present 40%
{"id": "n", "moves": [{"service": "holders", "from": "v1", "to": "v2", "share": 50, "by": "2025-01-01T00:00:00Z"}]} | moves[0].by: 2025-01-01T00:00:00Z is past
{"id": "n", "moves": [{"service": "holders", "from": "v1", "to": "v2", "share": 50}]} | moves[0].by: is missing
{"id": "n", "moves": [{"service": "nobody", "from": "v1", "to": "v2", "share": 50, "by": "2027-01-01T00:00:00Z"}]} | moves[0].service: unknown service nobody
{"id": "n", "moves": [{"service": "holders", "from": "v1", "to": "v9", "share": 50, "by": "2027-01-01T00:00:00Z"}]} | moves[0].to: unknown version v9
{"id": "n", "moves": [{"service": "holders", "from": "v1", "to": "v1", "share": 50, "by": "2027-01-01T00:00:00Z"}]} | moves[0].to: is the same version
{"id": "n", "services": {"withdrawn": ["holders"]}} | services.withdrawn[0]: route lookup still needs holders
{"id": "n", "services": {"added": [{"name": "a", "shares": {"v1": 60, "v2": 30}}]}} | services.added[0].shares: add up to 90, not to 100
{"id": "n", "services": {"added": [{"name": "holders", "shares": {"v1": 100}}]}} | services.added[0].name: holders exists already
{"id": "n", "services": {"changed": [{"name": "a", "shares": {"v1": 100}}]}} | services.changed[0].name: unknown service a
{"id": "n", "versions": {"withdrawn": [{"service": "holders", "version": "v1"}]}} | versions.withdrawn[0]: v1 still carries traffic
{"id": "n", "versions": {"added": [{"service": "holders", "version": "v1"}]}} | versions.added[0].version: v1 exists already
{"id": "n", "routes": {"added": [{"name": "r", "path": "x", "service": "holders", "idempotent": true}]}} | routes.added[0].path: must start with a slash
{"id": "n", "routes": {"added": [{"name": "r", "path": "/print", "service": "holders", "idempotent": true}]}} | routes.added[0].path: is taken by route print
{"id": "n", "routes": {"added": [{"name": "r", "path": "/x", "service": "nobody", "idempotent": true}]}} | routes.added[0].service: unknown service nobody
{"id": "n", "routes": {"withdrawn": ["r"]}} | routes.withdrawn[0]: unknown route r
{"id": "b a d", "routes": {"withdrawn": ["lookup"]}} | id: must be 1 to 100 letters
{"routes": {"withdrawn": ["lookup"]}} | id: is missing
{"id": "n"} | note: changes nothing
{"id": "n", "colour": 1} | colour: unknown field
{"id": "n", "moves": [{"servce": "a"}]} | moves[0].servce: unknown field
{"id": "n", "moves": [{"share": "much"}]} | moves[0].share: not a valid value
{"id": "n", "moves": [{"by": "tomorrow"}]} | moves[0].by: not a valid value
{"id": "n", "id": "m"} | line 1, column
{"id": "n" | line 1, column
[] | line 1, column 1: not a valid value
null | note: is null
""")
    void refusesBadNoteWithItsPlace(String json, String fault) throws Exception {
        MeshConfig base = TestNotes.base();
        NoteException e =
                assertThrows(
                        NoteException.class,
                        () -> NoteApplier.apply(TestNotes.read(json), base.edit(), NOW));
        assertTrue(
                e.faults().stream().anyMatch(f -> f.toString().startsWith(fault)),
                () -> "expected '" + fault + "' in " + e.faults());
    }

    @Test
    void refusesNoteOverOneMegabyte() {
        byte[] large = new byte[NoteReader.MAX_NOTE_BYTES + 1];
        NoteException e = assertThrows(NoteException.class, () -> NoteReader.read(large));
        assertTrue(e.faults().get(0).problem().contains("over the limit"));
    }

    @Test
    void namesAllFaultsAtOnce() throws Exception {
        String json =
                """
                {"id": "", "routes": {"withdrawn": ["a"]}, "services": {"withdrawn": ["b"]}}
                """;
        MeshConfig base = TestNotes.base();
        NoteException e =
                assertThrows(
                        NoteException.class,
                        () -> NoteApplier.apply(TestNotes.read(json), base.edit(), NOW));
        assertEquals(3, e.faults().size());
    }

    @Test
    void newerNoteSupersedesMoveAtItsPresentShare() throws Exception {
        MeshConfig moving =
                TestNotes.config(NOW, TestNotes.BASE, TestNotes.move("m1", NOW.plusSeconds(60)));
        ConfigEntries draft = moving.edit();
        Move move = draft.moves().get("m1#0");
        draft.moves()
                .put("m1#0", move.permit(3000, Optional.empty(), List.of(), NOW.minusSeconds(10)));
        MeshConfig half = draft.build(3);
        ConfigEntries next = half.edit();
        new NoteEdit(TestNotes.read(TestNotes.move("m2", NOW.plusSeconds(60))))
                .apply(half, next, NOW);
        MeshConfig superseded = next.build(4);

        assertEquals(MovePhase.SUPERSEDED, superseded.moves().get("m1#0").phase());
        assertEquals(3000, superseded.service("holders").orElseThrow().sharesBps().get("v2"));
        assertEquals("m2", superseded.activeMove("holders").orElseThrow().note());
        assertEquals(3000, superseded.activeMove("holders").orElseThrow().shareAt(NOW));
    }

    @Test
    void withdrawnServiceLeavesNoRouteBehind() throws Exception {
        String json =
                """
                {"id": "n", "routes": {"withdrawn": ["lookup"]},
                 "services": {"withdrawn": ["holders"]}}
                """;
        MeshConfig config = TestNotes.config(NOW, TestNotes.BASE, json);
        assertTrue(config.routeFor("/holders/1").isEmpty());
        assertTrue(config.service("holders").isEmpty());
        assertTrue(config.routeFor("/print").isPresent());
    }
}
