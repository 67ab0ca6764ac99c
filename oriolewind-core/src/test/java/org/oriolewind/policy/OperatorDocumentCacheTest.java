package org.oriolewind.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
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

    private static void put(
            OperatorDocumentCache documents, DocumentKind kind, OperatorDocument document) {
        documents.apply(kind, List.of(new DocumentChange(document, false)), document.revision());
    }

    private static void delete(
            OperatorDocumentCache documents,
            DocumentKind kind,
            OperatorDocument document,
            long revision) {
        documents.apply(kind, List.of(new DocumentChange(document, true)), revision);
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
                put(documents, DocumentKind.CONFIG, config(next, next).get(0));
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
        delete(mDocuments, DocumentKind.CONFIG, config(5, 7).get(0), 6);
        assertEquals(7, mDocuments.policy().orElseThrow().version());
    }

    @Test
    void evacuationEndsWhenItsDocumentIsDeleted() {
        OperatorDocument out = FakeDecoder.document("dc1", 3, "");
        put(mDocuments, DocumentKind.EVACUATION, out);
        assertTrue(mDocuments.isEvacuated("dc1"));
        delete(mDocuments, DocumentKind.EVACUATION, out, 4);
        assertFalse(mDocuments.isEvacuated("dc1"));
    }

    @Test
    void endedEvacuationIsNotRestoredByAnOlderList() {
        OperatorDocument out = FakeDecoder.document("dc1", 3, "");
        put(mDocuments, DocumentKind.EVACUATION, out);
        delete(mDocuments, DocumentKind.EVACUATION, out, 4);
        mDocuments.replace(DocumentKind.EVACUATION, 3, List.of(out));
        assertFalse(mDocuments.isEvacuated("dc1"));
    }

    /** A change of the store: the document, whether it was deleted, and its revision there. */
    private record Event(DocumentChange change, long revision) {}

    /** A store with three documents, which keeps its state at each revision. */
    private static final class History {
        final List<Event> mEvents = new ArrayList<>();
        final List<TreeMap<String, OperatorDocument>> mStates = new ArrayList<>();

        History(List<Integer> operations) {
            mStates.add(new TreeMap<>());
            for (int operation : operations) {
                long revision = mStates.size();
                TreeMap<String, OperatorDocument> state =
                        new TreeMap<>(mStates.get(mStates.size() - 1));
                String name = "dc" + operation % 3;
                OperatorDocument present = state.get(name);
                if (operation < 6 && present != null) {
                    state.remove(name);
                    mEvents.add(new Event(new DocumentChange(present, true), revision));
                } else if (operation >= 6) {
                    OperatorDocument document = FakeDecoder.document(name, revision, "");
                    state.put(name, document);
                    mEvents.add(new Event(new DocumentChange(document, false), revision));
                }
                // Otherwise a document of another kind has changed.
                mStates.add(state);
            }
        }

        List<OperatorDocument> documents(long revision) {
            return new ArrayList<>(mStates.get((int) revision).values());
        }

        List<DocumentChange> changes(long after, long until) {
            return mEvents.stream()
                    .filter(e -> e.revision() > after && e.revision() <= until)
                    .map(Event::change)
                    .toList();
        }
    }

    /**
     * Deletions have no revision of their own, and several changes come in one response. Meanwhile
     * other nodes send lists, older ones and later ones than the watch has reached.
     */
    @Property
    void documentsAreThoseOfTheStoreAtTheirRevision(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 11) Integer> operations,
            @ForAll @Size(max = 20) List<@IntRange(max = 59) Integer> steps) {
        History history = new History(operations);
        long end = operations.size();
        OperatorDocumentCache documents =
                new OperatorDocumentCache(new FakeDecoder(List.of()), kind -> {});
        long watched = 0;
        long latest = 0;
        for (int step : steps) {
            if (step % 2 == 0) {
                long next = Math.min(end, watched + step / 2 % 6);
                documents.apply(DocumentKind.EVACUATION, history.changes(watched, next), next);
                watched = next;
            } else {
                long listed = step / 2 % (end + 1);
                documents.replace(DocumentKind.EVACUATION, listed, history.documents(listed));
                latest = Math.max(latest, listed);
            }
            latest = Math.max(latest, watched);
            assertTrue(documents.revision(DocumentKind.EVACUATION) <= latest);
            assertEquals(history.documents(latest), documents.documents(DocumentKind.EVACUATION));
        }
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
