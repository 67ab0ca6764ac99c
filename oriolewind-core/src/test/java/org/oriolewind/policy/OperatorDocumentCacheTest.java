package org.oriolewind.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class OperatorDocumentCacheTest {
    private final List<DocumentKind> mChanges = new ArrayList<>();
    private final OperatorDocumentCache mView =
            new OperatorDocumentCache(
                    new FakeDecoder(
                            List.of(
                                    FakeDecoder.route("/a/", RetrySafety.SAFE, "one"),
                                    FakeDecoder.route("/a/b/", RetrySafety.SAFE, "two"))),
                    mChanges::add);

    private static List<OperatorDocument> config(long revision, long version) {
        return List.of(FakeDecoder.document("main", revision, Long.toString(version)));
    }

    @Test
    void knowsNoPolicyAtFirst() {
        assertTrue(mView.policy().isEmpty());
        assertEquals(0, mView.revision(DocumentKind.CONFIG));
    }

    /** Lists, changes and documents of other nodes may come in any order. */
    @Property
    void versionAndRevisionNeverFall(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 50) Integer> revisions) {
        OperatorDocumentCache view =
                new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
        long version = 0;
        long revision = 0;
        for (int next : revisions) {
            if (next % 2 == 0) {
                view.replace(DocumentKind.CONFIG, next, config(next, next));
            } else {
                view.apply(DocumentKind.CONFIG, config(next, next).get(0), false, next);
            }
            assertTrue(view.policy().orElseThrow().version() >= version);
            assertTrue(view.revision(DocumentKind.CONFIG) >= revision);
            version = view.policy().orElseThrow().version();
            revision = view.revision(DocumentKind.CONFIG);
        }
    }

    @Test
    void olderVersionAtNewerRevisionIsNotTaken() {
        mView.replace(DocumentKind.CONFIG, 5, config(5, 7));
        mView.replace(DocumentKind.CONFIG, 6, config(6, 4));
        assertEquals(7, mView.policy().orElseThrow().version());
    }

    @Test
    void deletedConfigurationStaysInForce() {
        mView.replace(DocumentKind.CONFIG, 5, config(5, 7));
        mView.apply(DocumentKind.CONFIG, config(5, 7).get(0), true, 6);
        assertEquals(7, mView.policy().orElseThrow().version());
    }

    @Test
    void evacuationEndsWithItsDocument() {
        OperatorDocument out = FakeDecoder.document("dc1", 3, "");
        mView.apply(DocumentKind.EVACUATION, out, false, 3);
        assertTrue(mView.isOut("dc1"));
        mView.apply(DocumentKind.EVACUATION, out, true, 4);
        assertFalse(mView.isOut("dc1"));
    }

    @Test
    void evacuationThatEndedDoesNotComeBackFromAnotherNode() {
        OperatorDocument out = FakeDecoder.document("dc1", 3, "");
        mView.apply(DocumentKind.EVACUATION, out, false, 3);
        mView.apply(DocumentKind.EVACUATION, out, true, 4);
        mView.replace(DocumentKind.EVACUATION, 3, List.of(out));
        assertFalse(mView.isOut("dc1"));
    }

    @Test
    void sameDocumentsAreNoChange() {
        mView.replace(DocumentKind.CONFIG, 5, config(5, 7));
        mView.replace(DocumentKind.CONFIG, 9, config(5, 7));
        assertEquals(List.of(DocumentKind.CONFIG), mChanges);
        assertEquals(9, mView.revision(DocumentKind.CONFIG));
    }

    @Test
    void longestPrefixWins() {
        mView.replace(DocumentKind.CONFIG, 5, config(5, 7));
        TrafficPolicy policy = mView.policy().orElseThrow();
        assertEquals("r/a/b/", policy.route(FakeDecoder.HOST, "/a/b/c").orElseThrow().name());
        assertEquals("r/a/", policy.route(FakeDecoder.HOST, "/a/bc").orElseThrow().name());
        assertTrue(policy.route(FakeDecoder.HOST, "/a").isEmpty());
        assertTrue(policy.route("other.example", "/a/").isEmpty());
    }
}
