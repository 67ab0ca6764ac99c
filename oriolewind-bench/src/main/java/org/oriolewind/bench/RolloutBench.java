package org.oriolewind.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.oriolewind.analysis.ProportionRule;

/**
 * Compares the statistical rules for rollout decisions: runs the real decision classes with a
 * simulated clock and simulated calls, many times for each model of a new version, call rate and
 * rule. {@code RolloutBench [RUNS [CALLS-PER-SECOND ...]]}.
 */
public final class RolloutBench {
    private static final int DEFAULT_RUNS = 200;
    private static final double[] DEFAULT_RATES = {300, 60, 10};
    private static final long SEED = 20261204;

    private RolloutBench() {}

    /**
     * Runs the simulations and prints one line for each rate, rule and version model. The same
     * seeds are used for each line. The last three columns are medians over the runs: seconds until
     * the rollout was complete or, from the first bad call, until the rollback; share of bad calls;
     * and number of bad calls.
     *
     * @param args the number of runs, by default 200, and the service's calls per second, by
     *     default 300, 60 and 10
     * @throws Exception if the simulation's own release notes are rejected, which is a bug
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
                "rollback",
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
