package org.oriolewind.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewind.config.ConfigEdit;
import org.oriolewind.config.ConfigEntries;
import org.oriolewind.config.MeshConfig;
import org.oriolewind.config.NameSetEdit;
import org.oriolewind.config.TestNotes;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.Member;

class EndpointSelectorTest {
    private static final long NOW_MILLIS = 1000;

    private final EndpointSelector mChooser = new EndpointSelector("ikeja");
    private final Random mRandom = new Random(1);
    private final List<Member> mUp =
            List.of(
                    member("i1", "ikeja"),
                    member("i2", "ikeja"),
                    member("y1", "yaba"),
                    member("a1", "agege"));
    private MeshConfig mConfig;

    @BeforeEach
    void configure() throws Exception {
        mConfig = TestNotes.base();
    }

    private static Member member(String node, String dataCentre) {
        return Member.newBuilder().setNode(node).setDataCentre(dataCentre).build();
    }

    private void apply(ConfigEdit edit) throws Exception {
        ConfigEntries draft = mConfig.edit();
        edit.apply(mConfig, draft, new FakeClock().instant());
        mConfig = draft.build(mConfig.version() + 1);
    }

    /** Chooses many times and returns all that were chosen. */
    private TreeSet<String> chosen(Set<String> tried) {
        TreeSet<String> nodes = new TreeSet<>();
        for (int i = 0; i < 200; i++) {
            mChooser.choose(mUp, mConfig, tried, mRandom, NOW_MILLIS)
                    .ifPresent(member -> nodes.add(member.getNode()));
        }
        return nodes;
    }

    @Test
    void ownDataCentreComesFirst() {
        assertEquals(Set.of("i1", "i2"), chosen(Set.of()));
    }

    @Test
    void dataCentreThatIsOutGetsNothing() throws Exception {
        apply(new NameSetEdit(NameSetEdit.Target.DATA_CENTRES_OUT, "ikeja", true));
        assertEquals(Set.of("a1", "y1"), chosen(Set.of()));
        apply(new NameSetEdit(NameSetEdit.Target.DATA_CENTRES_OUT, "yaba", true));
        assertEquals(Set.of("a1"), chosen(Set.of()));
    }

    @Test
    void drainedAndTriedNodesArePassedOver() throws Exception {
        apply(new NameSetEdit(NameSetEdit.Target.DRAINED_NODES, "i1", true));
        assertEquals(Set.of("i2"), chosen(Set.of()));
        assertEquals(Set.of("a1", "y1"), chosen(Set.of("i2")));
        assertTrue(chosen(Set.of("i2", "a1", "y1")).isEmpty());
    }

    @Test
    void fullDataCentreSpillsOver() {
        mChooser.load("i1").onReport(4, 4, NOW_MILLIS);
        assertEquals(Set.of("i2"), chosen(Set.of()));
        mChooser.load("i2").onReport(4, 4, NOW_MILLIS);
        assertEquals(Set.of("a1", "y1"), chosen(Set.of()));
    }

    @Test
    void suspectNodeIsUsedOnlyWhenNoOtherIsLeft() {
        mChooser.load("i1").onUnreachable(NOW_MILLIS, 200, 5000);
        assertEquals(Set.of("i2"), chosen(Set.of()));
        assertEquals(Set.of("i1"), chosen(Set.of("i2", "y1", "a1")));
    }

    @Test
    void suspicionDoublesAndEndsWithAnAnswer() {
        PeerLoad load = new PeerLoad();
        load.onUnreachable(0, 200, 5000);
        assertTrue(load.isSuspect(199) && !load.isSuspect(200));
        load.onUnreachable(200, 200, 5000);
        assertTrue(load.isSuspect(599) && !load.isSuspect(600));
        load.onReport(4, 0, 300);
        assertTrue(!load.isSuspect(301));
    }

    @Test
    void budgetBoundsRetriesToAShareOfCalls() {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.onCall();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertTrue(retries <= 105, "retries: " + retries);
    }
}
