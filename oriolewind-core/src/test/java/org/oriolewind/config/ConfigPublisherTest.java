package org.oriolewind.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewind.platform.MemoryObjectStore;
import org.oriolewind.time.FakeClock;

class ConfigPublisherTest {
    private final FakeClock mClock = new FakeClock();
    private final MemoryObjectStore mStore = new MemoryObjectStore();
    private final ConfigPublisher mPublisher = new ConfigPublisher(mStore, mClock);

    @BeforeEach
    void publishBase() throws Exception {
        assertTrue(mPublisher.publish(TestNotes.read(TestNotes.BASE)).changed());
    }

    private ReleaseNote move(String id) throws NoteException {
        return TestNotes.read(TestNotes.move(id, mClock.instant().plusSeconds(60)));
    }

    @Test
    void sameNoteTwiceIsOneVersion() throws Exception {
        ReleaseNote note = move("m");
        assertEquals(2, mPublisher.publish(note).head().config().version());
        PublishResult again = mPublisher.publish(note);
        assertFalse(again.changed());
        assertEquals(2, again.head().config().version());
    }

    @Test
    void sameIdWithOtherContentIsRejected() throws Exception {
        mPublisher.publish(move("m"));
        mClock.advanceMillis(1000);
        NoteException e = assertThrows(NoteException.class, () -> mPublisher.publish(move("m")));
        assertEquals("id", e.faults().get(0).location());
        assertEquals(2, mPublisher.readHead().config().version());
    }

    @Test
    void validationRejectsWhatPublicationRejects() throws Exception {
        ReleaseNote note = move("m");
        assertTrue(mPublisher.validate(note).changed());
        assertEquals(1, mPublisher.readHead().config().version(), "nothing is written");
        mPublisher.publish(note);
        assertFalse(mPublisher.validate(note).changed());
        mClock.advanceMillis(1000);
        NoteException e = assertThrows(NoteException.class, () -> mPublisher.validate(move("m")));
        assertEquals("id", e.faults().get(0).location());
    }

    @Test
    void lostResponseIsResolvedByReadingBack() throws Exception {
        mStore.loseResponses(1);
        PublishResult result = mPublisher.publish(move("m"));
        assertTrue(result.changed());
        assertEquals(2, result.head().config().version());
    }

    @Test
    void lostResponseAndOutageIsOutcomeUnknown() {
        mStore.loseResponses(1);
        mStore.setOutageAfterWrites(1);
        PublishException e =
                assertThrows(PublishException.class, () -> mPublisher.publish(move("m")));
        assertEquals(PublishException.Reason.OUTCOME_UNKNOWN, e.reason());
    }

    @Test
    void outageBeforeWriteIsUnreachable() throws Exception {
        mStore.setOutage(true);
        PublishException e =
                assertThrows(PublishException.class, () -> mPublisher.publish(move("m")));
        assertEquals(PublishException.Reason.UNREACHABLE, e.reason());
        mStore.setOutage(false);
        assertEquals(1, mPublisher.readHead().config().version());
    }

    @Test
    void losingOperatorIsToldWhichNoteCameFirst() throws Exception {
        ReleaseNote winner = move("winner");
        ReleaseNote loser = move("loser");
        ConfigEdit racing =
                new ConfigEdit() {
                    private boolean mRaced;

                    @Override
                    public boolean apply(
                            MeshConfig current, ConfigEntries draft, java.time.Instant now)
                            throws NoteException {
                        if (!mRaced) {
                            mRaced = true;
                            publishUnchecked(winner);
                        }
                        return new NoteEdit(loser).apply(current, draft, now);
                    }
                };
        PublishException e = assertThrows(PublishException.class, () -> mPublisher.publish(racing));
        assertEquals(PublishException.Reason.LOST_RACE, e.reason());
        assertTrue(e.getMessage().contains("note winner came first"));
        assertFalse(mPublisher.readHead().config().notes().containsKey("loser"));
    }

    private void publishUnchecked(ReleaseNote note) {
        try {
            new ConfigPublisher(mStore, mClock).publish(note);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void oldNotesAreArchivedAndStillRecognized() throws Exception {
        int notes = NoteArchive.MAX_NOTES_IN_HEAD + 10;
        ReleaseNote first = null;
        for (int i = 0; i < notes; i++) {
            String json =
                    String.format(
                            """
                            {"id": "n%d", "services": {"changed": [
                             {"name": "holders", "shares": {"v1": %d, "v2": %d}}]}}
                            """,
                            i, i % 100, 100 - i % 100);
            ReleaseNote note = TestNotes.read(json);
            first = first == null ? note : first;
            mPublisher.publish(note);
        }
        ConfigHead head = mPublisher.readHead();
        assertEquals(NoteArchive.MAX_NOTES_IN_HEAD, head.config().notes().size());
        assertFalse(head.config().notes().containsKey("n0"));
        PublishResult again = mPublisher.publish(first);
        assertFalse(again.changed());
        assertEquals(head.config().version(), again.head().config().version());
    }
}
