package org.oriolewind.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.oriolewind.analysis.ProportionRule;

/**
 * The rollout experiment: the real decision classes with a simulated clock and modelled calls, each
 * kind of new version many times, with each decision rule. {@code RolloutBench [RUNS
 * [CALLS-PER-SECOND ...]]}.
 */
public final class RolloutBench {
    private static final int DEFAULT_RUNS = 200;
    private static final double[] DEFAULT_RATES = {300, 60, 10};
    private static final long SEED = 20261204;

    private RolloutBench() {}

    /**
     * Runs the experiment and prints a line a rule, rate and kind.
     *
     * @param args the number of runs and the rates of the service's calls
     * @throws Exception never
     */
    public static void main(String[] args) throws Exception {
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_RUNS;
        double[] rates =
                args.length > 1
                        ? Arrays.stream(args).skip(1).mapToDouble(Double::parseDouble).toArray()
                        : DEFAULT_RATES;
        System.out.printf(
                "%-17s %5s %-20s %9s %9s %9s %12s %12s %12s%n",
                "rule",
                "rate",
                "kind",
                "in time",
                "late",
                "back",
                "median s",
                "bad share",
                "bad calls");
        for (double rate : rates) {
            for (ProportionRule rule : ProportionRule.values()) {
                for (VersionModel versionModel : VersionModel.values()) {
                    measure(rule, rate, versionModel, runs);
                }
            }
        }
    }

    private static void measure(
            ProportionRule rule, double rate, VersionModel versionModel, int runs)
            throws Exception {
        List<SimulatedRollout.Outcome> outcomes = new ArrayList<>();
        for (int run = 0; run < runs; run++) {
            outcomes.add(new SimulatedRollout(rule, rate, versionModel, SEED + run).run());
        }
        long inTime = outcomes.stream().filter(SimulatedRollout.Outcome::doneInTime).count();
        long rolledBack = outcomes.stream().filter(SimulatedRollout.Outcome::rolledBack).count();
        System.out.printf(
                Locale.ROOT,
                "%-17s %5.0f %-20s %8.1f%% %8.1f%% %8.1f%% %12.1f %11.2f%% %12.0f%n",
                rule.name().toLowerCase(Locale.ROOT),
                rate,
                versionModel.name().toLowerCase(Locale.ROOT),
                100.0 * inTime / runs,
                100.0 * outcomes.stream().filter(SimulatedRollout.Outcome::late).count() / runs,
                100.0 * rolledBack / runs,
                median(outcomes.stream().mapToDouble(SimulatedRollout.Outcome::seconds)),
                100 * median(outcomes.stream().mapToDouble(SimulatedRollout.Outcome::badShare)),
                median(outcomes.stream().mapToDouble(SimulatedRollout.Outcome::badCalls)));
    }

    private static double median(java.util.stream.DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        return sorted[sorted.length / 2];
    }
}
