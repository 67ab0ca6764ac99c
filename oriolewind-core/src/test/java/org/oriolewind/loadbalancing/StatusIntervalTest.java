package org.oriolewind.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.time.FakeClock;
import org.oriolewind.wire.NodeStatus;

class StatusIntervalTest {
    /** Statuses that a node sends per second grow with its data centre and not with the fleet. */
    @ParameterizedTest
    @CsvSource({"16, 4, 15", "96, 6, 43", "300, 6, 110", "1300, 7, 420"})
    void statusesPerSecondAreBounded(int nodes, int dataCentres, int maxPerSecond) {
        int local = nodes / dataCentres;
        double perSecond =
                (local - 1) * 1000.0 / StatusInterval.LOCAL_MILLIS
                        + (nodes - local) * 1000.0 / StatusInterval.remoteMillis(nodes);
        assertTrue(perSecond <= maxPerSecond, perSecond + " statuses a second");
    }

    @Test
    void remoteNodeOfALargeFleetTimesOutLaterThanALocalOne() {
        FakeClock clock = new FakeClock();
        Fleet fleet = new Fleet(clock, "dc1");
        for (int i = 0; i < 96; i++) {
            fleet.onStatus(
                    NodeStatus.newBuilder()
                            .setNode("n" + i)
                            .setIncarnation(1)
                            .setSequence(1)
                            .setDataCentre(i < 16 ? "dc1" : "dc2")
                            .setPeerAddress("n" + i + ":1")
                            .build());
        }
        assertEquals(80, fleet.remoteAddresses().size());
        clock.advanceMillis(StatusInterval.timeoutMillis(StatusInterval.LOCAL_MILLIS) + 1);
        assertEquals(80, fleet.reachable().size());
        clock.advanceMillis(StatusInterval.timeoutMillis(fleet.remoteStatusIntervalMillis()));
        assertEquals(0, fleet.reachable().size());
    }
}
