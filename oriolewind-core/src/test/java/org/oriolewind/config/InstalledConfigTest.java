package org.oriolewind.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.oriolewind.time.FakeClock;

class InstalledConfigTest {
    private static List<MeshConfig> versions(int count) throws Exception {
        FakeClock clock = new FakeClock();
        List<MeshConfig> versions = new ArrayList<>();
        MeshConfig config = TestNotes.base();
        versions.add(config);
        for (int i = 2; i <= count; i++) {
            ConfigEntries draft = config.edit();
            new NameSetEdit(NameSetEdit.Target.DATA_CENTRES_OUT, "dc" + i % 3, i % 2 == 0)
                    .apply(config, draft, clock.instant());
            config = draft.build(i);
            versions.add(config);
        }
        return versions;
    }

    /** Whatever order updates come in, and however often, the version never goes back. */
    @Property(tries = 200, seed = "42")
    void versionNeverGoesBack(@ForAll long seed) throws Exception {
        List<MeshConfig> versions = versions(12);
        Random random = new Random(seed);
        InstalledConfig installed = new InstalledConfig();
        long highest = 0;
        for (int step = 0; step < 60; step++) {
            MeshConfig to = versions.get(random.nextInt(versions.size()));
            MeshConfig from = versions.get(random.nextInt(versions.size()));
            long before = installed.current().version();
            if (random.nextBoolean()) {
                installed.install(to.snapshot(), "peer");
                highest = Math.max(highest, to.version());
            } else if (from.version() < to.version()) {
                installed.install(to.snapshot().since(from.snapshot()), "peer");
            }
            assertTrue(installed.current().version() >= before);
            assertTrue(installed.current().version() >= highest);
            assertTrue(installed.current().snapshot().isIntact());
        }
    }

    @Test
    void deltaForAnotherBaseIsAGap() throws Exception {
        List<MeshConfig> versions = versions(4);
        InstalledConfig installed = new InstalledConfig();
        installed.install(versions.get(0));
        ConfigDelta delta = versions.get(3).snapshot().since(versions.get(2).snapshot());
        assertEquals(InstalledConfig.Result.GAP, installed.install(delta, "peer"));
        assertEquals(1, installed.current().version());
    }

    @Test
    void truncatedDeltaIsAGap() throws Exception {
        List<MeshConfig> versions = versions(2);
        InstalledConfig installed = new InstalledConfig();
        installed.install(versions.get(0));
        ConfigDelta whole = versions.get(1).snapshot().since(versions.get(0).snapshot());
        ConfigDelta truncated =
                new ConfigDelta(1, 2, new TreeMap<>(), whole.removes(), whole.digest());
        assertEquals(InstalledConfig.Result.GAP, installed.install(truncated, "peer"));
        assertEquals(1, installed.current().version());
    }

    @Test
    void damagedSnapshotIsRefusedAndTheOldOneStays() throws Exception {
        List<MeshConfig> versions = versions(2);
        InstalledConfig installed = new InstalledConfig();
        installed.install(versions.get(0));
        TreeMap<String, String> entries = new TreeMap<>(versions.get(1).snapshot().entries());
        entries.remove("route/print");
        ConfigSnapshot damaged =
                new ConfigSnapshot(2, entries, versions.get(1).snapshot().digest());
        assertThrows(ConfigException.class, () -> installed.install(damaged, "peer"));
        assertTrue(installed.current().routeFor("/print").isPresent());
    }

    @Test
    void routeToAnAbsentServiceIsRefusedWhole() throws Exception {
        MeshConfig base = TestNotes.base();
        InstalledConfig installed = new InstalledConfig();
        installed.install(base);
        TreeMap<String, String> entries = new TreeMap<>(base.snapshot().entries());
        entries.remove("service/press");
        ConfigSnapshot unresolved = ConfigSnapshot.of(2, entries);
        ConfigException e =
                assertThrows(ConfigException.class, () -> installed.install(unresolved, "peer"));
        assertTrue(e.getMessage().contains("route print needs service press"));
        assertEquals(1, installed.current().version());
    }

    @Test
    void deltaReachesBackAsFarAsTheHistory() throws Exception {
        InstalledConfig installed = new InstalledConfig();
        List<MeshConfig> versions = versions(50);
        versions.forEach(installed::install);
        assertTrue(installed.deltaSince(1).isEmpty());
        ConfigDelta delta = installed.deltaSince(40).orElseThrow();
        assertEquals(50, delta.applyTo(versions.get(39).snapshot()).orElseThrow().version());
    }
}
