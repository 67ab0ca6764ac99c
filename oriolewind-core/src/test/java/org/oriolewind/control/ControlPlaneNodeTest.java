package org.oriolewind.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewind.config.TestNotes;

class ControlPlaneNodeTest {
    /** Requirement: a published version is current on all nodes within 5 s. */
    private static final long PROPAGATION_MILLIS = 5000;

    /** Covers a lease's duration, the takeover jitter and the search for a parent. */
    private static final long SETTLE_MILLIS = 40_000;

    private static FakeMesh settledMesh(long seed, int dataCentres, int nodesEach) {
        FakeMesh mesh = new FakeMesh(seed);
        mesh.publish(TestNotes.BASE);
        mesh.startAll(dataCentres, nodesEach);
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled), "did not settle");
        return mesh;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 12, 40})
    void publishedVersionReachesAllNodesInTime(int nodesEach) {
        FakeMesh mesh = settledMesh(7, 2, nodesEach);
        long version = mesh.publishMove("m1");
        long millis = mesh.runUntil(PROPAGATION_MILLIS, () -> mesh.allAt(version));
        assertNotEquals(-1, millis);
    }

    @Test
    void idleNodesStayBelowThePlatformCallRate() {
        FakeMesh mesh = settledMesh(8, 2, 20);
        long before = mesh.platformCalls();
        mesh.run(60_000);
        double perSecond = (mesh.platformCalls() - before) / 60.0;
        // Target at seven data centres: under 20 a second, so 20 / 7 * 2 for two of them.
        assertTrue(perSecond < 20.0 / 7 * 2, "calls a second: " + perSecond);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void killedLeaderIsReplacedAndVersionsStillPropagate(int dataCentres) {
        FakeMesh mesh = settledMesh(9, dataCentres, 12);
        String leader = mesh.leader("dc0");
        mesh.kill(leader);
        mesh.run(200);
        long version = mesh.publishMove("m1");
        assertNotEquals(-1, mesh.runUntil(PROPAGATION_MILLIS, () -> mesh.allAt(version)));
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled));
        assertNotEquals(leader, mesh.leader("dc0"));
    }

    @Test
    void leaderPausedPastItsLeaseWritesNothingAfterResuming() {
        FakeMesh mesh = settledMesh(10, 1, 6);
        FakeNode leader = mesh.mNodes.get(mesh.leader("dc0"));
        long term = leader.mControl.leaderTerm();
        // The new member makes the leader write. The leader is paused with that write pending,
        // and the write is sent once it resumes.
        mesh.start("dc0-n99", "dc0");
        mesh.run(100);
        leader.mPaused = true;
        mesh.run(25_000);
        assertNotEquals(leader.mName, mesh.leader("dc0"));
        leader.mPaused = false;
        mesh.run(20);
        assertFalse(
                leader.mControl.status().lead(),
                "paused leader still reports that it holds its lease");
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled));
        FakeNode successor = mesh.mNodes.get(mesh.leader("dc0"));
        assertTrue(successor.mControl.leaderTerm() > term);
        assertEquals(successor.mControl.leaderTerm(), storedMembersTerm(mesh));
    }

    /** A write pending when a leader is paused, at any moment, has no effect once it resumes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void delayedWriteOfAPausedLeaderHasNoEffect(int pauseAfterMillis) {
        FakeMesh mesh = settledMesh(30, 1, 5);
        FakeNode leader = mesh.mNodes.get(mesh.leader("dc0"));
        mesh.run(5000);
        mesh.kill(
                mesh.mNodes.keySet().stream().filter(n -> !n.equals(leader.mName)).findAny().get());
        mesh.runUntil(20_000, () -> leader.upMembers() == 4);
        mesh.run(pauseAfterMillis);
        leader.mPaused = true;
        mesh.run(25_000);
        leader.mPaused = false;
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled));
    }

    private static long storedMembersTerm(FakeMesh mesh) {
        try {
            byte[] json = mesh.mStore.get("mesh/members/dc0").orElseThrow().value().orElseThrow();
            return org.oriolewind.membership.MembersObject.decode(json, "test").term();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void restartedDataCentreRecoversAllNodes() {
        FakeMesh mesh = settledMesh(11, 2, 12);
        List<String> names =
                mesh.mNodes.keySet().stream().filter(n -> n.startsWith("dc0")).toList();
        names.forEach(mesh::kill);
        mesh.run(1000);
        long version = mesh.publishMove("m1");
        names.forEach(name -> mesh.start(name, "dc0"));
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled));
        assertTrue(mesh.allAt(version));
    }

    @Test
    void massReconnectStaysBelowThePlatformLimit() {
        FakeMesh mesh = settledMesh(12, 2, 40);
        List<String> half = new ArrayList<>(mesh.mNodes.keySet());
        half.removeIf(name -> name.hashCode() % 2 == 0);
        half.forEach(mesh::kill);
        half.forEach(name -> mesh.start(name, name.substring(0, 3)));
        long before = mesh.platformCalls();
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled));
        // The platform takes 2,000 reads a second for 1,300 nodes; here are 80.
        assertTrue(
                mesh.platformCalls() - before < 80 * 40,
                "calls: " + (mesh.platformCalls() - before));
    }

    @Test
    void versionPropagatesWithoutThePlatformOnceOneDataCentreHasIt() {
        FakeMesh mesh = settledMesh(13, 3, 8);
        long version = mesh.publishMove("m1");
        // Only dc0 receives the version before the platform becomes unavailable.
        mesh.isolate("dc1", true);
        mesh.isolate("dc2", true);
        mesh.run(1000);
        mesh.mStore.setOutage(true);
        mesh.isolate("dc1", false);
        mesh.isolate("dc2", false);
        assertNotEquals(-1, mesh.runUntil(30_000, () -> mesh.allAt(version)));
    }

    @Test
    void isolatedDataCentrePassesItsConfigurationToARestartedNode() {
        FakeMesh mesh = settledMesh(14, 2, 6);
        long version = mesh.publishMove("m1");
        mesh.run(2000);
        mesh.isolate("dc0", true);
        mesh.run(10_000);
        mesh.kill("dc0-n05");
        mesh.run(500);
        FakeNode restarted = mesh.start("dc0-n05", "dc0");
        assertNotEquals(
                -1,
                mesh.runUntil(
                        20_000,
                        () ->
                                restarted.version() == version
                                        && restarted.mControl.isConfigReady()));
        mesh.isolate("dc0", false);
        long next = mesh.publishMove("m2");
        assertNotEquals(-1, mesh.runUntil(30_000, () -> mesh.allAt(next)));
    }

    @Test
    void compactedWatchFallsBackToAList() {
        FakeMesh mesh = settledMesh(15, 1, 4);
        mesh.mStore.setOutage(true);
        mesh.run(3000);
        mesh.mStore.setOutage(false);
        long version = mesh.publishMove("m1");
        mesh.mStore.compact();
        assertNotEquals(-1, mesh.runUntil(10_000, () -> mesh.allAt(version)));
    }

    @Test
    void treeSurvivesALongOutageAndALeaderIsElectedAfterwards() {
        FakeMesh mesh = settledMesh(16, 1, 8);
        mesh.mStore.setOutage(true);
        mesh.run(600_000);
        assertEquals(null, mesh.leader("dc0"), "no lease can be held without the platform");
        mesh.mNodes.values().forEach(node -> assertFalse(node.mControl.status().path().isEmpty()));
        mesh.mStore.setOutage(false);
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled));
    }

    @Test
    void lostResponsesNeitherLoseNorDuplicateALease() {
        FakeMesh mesh = settledMesh(17, 1, 6);
        for (int i = 0; i < 10; i++) {
            mesh.mStore.loseResponses(2);
            mesh.run(3000);
            mesh.leader("dc0");
        }
        assertNotEquals(-1, mesh.runUntil(SETTLE_MILLIS, mesh::settled));
    }

    @Test
    void probesDetectAKilledNode() {
        FakeMesh mesh = settledMesh(18, 1, 12);
        mesh.kill("dc0-n07");
        assertNotEquals(
                -1,
                mesh.runUntil(
                        30_000,
                        () -> mesh.mNodes.values().stream().allMatch(n -> n.upMembers() == 11)));
    }

    /**
     * Under random faults no node returns to an older version and no data centre has two leaders;
     * once the faults end, all nodes converge.
     */
    @Property(tries = 15, seed = "4711")
    void nodesConvergeAfterRandomFaults(@ForAll long seed) {
        FakeMesh mesh = settledMesh(seed, 2, 5);
        Random random = new Random(seed);
        long version = 1;
        for (int step = 0; step < 25; step++) {
            version = injectFault(mesh, random, step, version);
            mesh.run(random.nextInt(4000));
            mesh.leader("dc0");
            mesh.leader("dc1");
        }
        clearFaults(mesh);
        long latest = mesh.publishMove("last-" + seed);
        assertTrue(latest > version);
        assertNotEquals(
                -1,
                mesh.runUntil(90_000, () -> mesh.allAt(latest) && mesh.settled()),
                "did not converge");
    }

    private static long injectFault(FakeMesh mesh, Random random, int step, long version) {
        List<String> names = new ArrayList<>(mesh.mNodes.keySet());
        String name = names.get(random.nextInt(names.size()));
        switch (random.nextInt(8)) {
            case 0 -> {
                mesh.kill(name);
                mesh.start(name, name.substring(0, 3));
            }
            case 1 -> mesh.mNodes.get(name).mPaused = true;
            case 2 -> mesh.mNodes.values().forEach(node -> node.mPaused = false);
            case 3 -> mesh.isolate("dc" + random.nextInt(2), random.nextBoolean());
            case 4 -> mesh.mStore.setOutage(random.nextBoolean());
            case 5 -> mesh.mStore.loseResponses(random.nextInt(3));
            case 6 -> mesh.mStore.compact();
            default -> {
                mesh.mStore.setOutage(false);
                mesh.mStore.loseResponses(0);
                return mesh.publishMove("step-" + step + "-" + random.nextInt());
            }
        }
        return version;
    }

    private static void clearFaults(FakeMesh mesh) {
        mesh.mNodes.values().forEach(node -> node.mPaused = false);
        mesh.isolate("dc0", false);
        mesh.isolate("dc1", false);
        mesh.mStore.setOutage(false);
        mesh.mStore.loseResponses(0);
    }
}
