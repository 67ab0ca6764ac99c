package org.oriolewind.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewind.policy.RetrySafety;
import org.oriolewind.policy.TrafficRoute;
import org.oriolewind.policy.WeightedService;

class WeightedServiceSelectorTest {
    @ParameterizedTest
    @CsvSource({"90, 10", "1, 1", "70, 30", "3, 997", "100, 1"})
    void partsGetTheirSharesOverAnyTime(int first, int second) {
        TrafficRoute route =
                new TrafficRoute(
                        "r",
                        "h",
                        "/",
                        RetrySafety.SAFE,
                        1000,
                        500,
                        0,
                        1,
                        List.of(new WeightedService("a", first), new WeightedService("b", second)));
        WeightedServiceSelector chooser = new WeightedServiceSelector();
        Map<String, Integer> counts = new HashMap<>();
        int requests = 0;
        for (int i = 0; i < 2000; i++) {
            counts.merge(chooser.choose(route), 1, Integer::sum);
            requests++;
            double expected = requests * (double) first / (first + second);
            assertEquals(expected, counts.getOrDefault("a", 0), 1.0, "after " + requests);
        }
    }
}
