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
    private final OperatorDocumentCache mDocuments =
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
    void policyIsEmptyBeforeTheFirstConfiguration() {
        assertTrue(mDocuments.policy().isEmpty());
        assertEquals(0, mDocuments.revision(DocumentKind.CONFIG));
    }

    /** Complete lists and single changes may arrive in any order. */
    @Property
    void versionAndRevisionNeverDecrease(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 50) Integer> revisions) {
        OperatorDocumentCache documents =
                new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
        long version = 0;
        long revision = 0;
        for (int next : revisions) {
            if (next % 2 == 0) {
                documents.replace(DocumentKind.CONFIG, next, config(next, next));
            } else {
                documents.apply(DocumentKind.CONFIG, config(next, next).get(0), false, next);
            }
            assertTrue(documents.policy().orElseThrow().version() >= version);
            assertTrue(documents.revision(DocumentKind.CONFIG) >= revision);
            version = documents.policy().orElseThrow().version();
            revision = documents.revision(DocumentKind.CONFIG);
        }
    }

    @Test
    void olderVersionAtNewerRevisionIsIgnored() {
        mDocuments.replace(DocumentKind.CONFIG, 5, config(5, 7));
        mDocuments.replace(DocumentKind.CONFIG, 6, config(6, 4));
        assertEquals(7, mDocuments.policy().orElseThrow().version());
    }

    @Test
    void deletedConfigurationStaysInForce() {
        mDocuments.replace(DocumentKind.CONFIG, 5, config(5, 7));
        mDocuments.apply(DocumentKind.CONFIG, config(5, 7).get(0), true, 6);
        assertEquals(7, mDocuments.policy().orElseThrow().version());
    }

    @Test
    void evacuationEndsWhenItsDocumentIsDeleted() {
        OperatorDocument out = FakeDecoder.document("dc1", 3, "");
        mDocuments.apply(DocumentKind.EVACUATION, out, false, 3);
        assertTrue(mDocuments.isEvacuated("dc1"));
        mDocuments.apply(DocumentKind.EVACUATION, out, true, 4);
        assertFalse(mDocuments.isEvacuated("dc1"));
    }

    @Test
    void endedEvacuationIsNotRestoredByAnOlderList() {
        OperatorDocument out = FakeDecoder.document("dc1", 3, "");
        mDocuments.apply(DocumentKind.EVACUATION, out, false, 3);
        mDocuments.apply(DocumentKind.EVACUATION, out, true, 4);
        mDocuments.replace(DocumentKind.EVACUATION, 3, List.of(out));
        assertFalse(mDocuments.isEvacuated("dc1"));
    }

    @Test
    void unchangedDocumentsAreNotReportedAsAChange() {
        mDocuments.replace(DocumentKind.CONFIG, 5, config(5, 7));
        mDocuments.replace(DocumentKind.CONFIG, 9, config(5, 7));
        assertEquals(List.of(DocumentKind.CONFIG), mChanges);
        assertEquals(9, mDocuments.revision(DocumentKind.CONFIG));
    }

    @Test
    void longestPrefixWins() {
        mDocuments.replace(DocumentKind.CONFIG, 5, config(5, 7));
        TrafficPolicy policy = mDocuments.policy().orElseThrow();
        assertEquals("r/a/b/", policy.route(FakeDecoder.HOST, "/a/b/c").orElseThrow().name());
        assertEquals("r/a/", policy.route(FakeDecoder.HOST, "/a/bc").orElseThrow().name());
        assertTrue(policy.route(FakeDecoder.HOST, "/a").isEmpty());
        assertTrue(policy.route("other.example", "/a/").isEmpty());
    }
}
