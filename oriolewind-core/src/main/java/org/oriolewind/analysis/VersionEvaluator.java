package org.oriolewind.analysis;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oriolewind.config.MoveEvidence;
import org.oriolewind.config.RouteBaseline;

/**
 * Compares a new version with the old one over all routes. One bad route makes the version bad,
 * however few calls it has. Stateless and thread-safe.
 */
public final class VersionEvaluator {
    /** Quantile of the old version's latency above which a call counts as slow. */
    private static final double SLOW_QUANTILE = 0.9;

    /** Default for the smallest relevant rise of the share of failed calls. */
    private static final double MIN_FAILURE_RISE = 0.05;

    /** Smallest relevant rise of the share of slow calls. */
    private static final double MIN_SLOW_RISE = 0.25;

    /** Share of the busiest route's calls below which a route need not be found good. */
    private static final double RARE_ROUTE_SHARE = 0.1;

    /** Calls of the old version from which the current window alone is the basis of comparison. */
    private static final long ENOUGH_OLD_CALLS = 50;

    /**
     * Calls of the old version from which the earlier baseline is scaled down, so that the current
     * window has more weight.
     */
    private static final long FEW_OLD_CALLS = 5;

    /**
     * Number of calls to which the earlier baseline is scaled down when the current window has few
     * calls of the old version.
     */
    private static final double PRIOR_CALLS = 20;

    /** Timed calls of the old version needed before latency is compared. */
    private static final long MIN_OLD_TIMED_CALLS = 20;

    private final ProportionRule mRule;
    private final double mMinFailureRise;

    /**
     * Creates an evaluator with the default threshold for failed calls.
     *
     * @param rule the rule for each proportion
     */
    public VersionEvaluator(ProportionRule rule) {
        this(rule, MIN_FAILURE_RISE);
    }

    /**
     * Creates an evaluator with another threshold, as for a single backend server with few calls.
     *
     * @param rule the rule for each proportion
     * @param minFailureRise smallest relevant rise of the share of failed calls, between 0 and 1
     */
    public VersionEvaluator(ProportionRule rule, double minFailureRise) {
        mRule = rule;
        mMinFailureRise = minFailureRise;
    }

    /** The verdicts on one route, or on all routes together. */
    private record RouteEvaluation(Verdict failures, Verdict slowness, MoveEvidence evidence) {
        Verdict verdict() {
            if (failures == Verdict.BAD || slowness == Verdict.BAD) {
                return Verdict.BAD;
            }
            boolean good = failures == Verdict.GOOD && slowness == Verdict.GOOD;
            return good ? Verdict.GOOD : Verdict.OPEN;
        }
    }

    /**
     * Compares the new version with the old one.
     *
     * @param pairs counts of the current window by route
     * @param baselines earlier counts of the old version, empty if there are none
     * @param confidence the confidence that a verdict against the new version requires
     * @return the evaluation, with the counts of the bad route or of all routes together
     */
    public VersionEvaluation evaluate(
            Map<String, EvidencePair> pairs, List<RouteBaseline> baselines, Confidence confidence) {
        long busiest = pairs.values().stream().mapToLong(VersionEvaluator::calls).max().orElse(0);
        boolean allGood = true;
        Set<String> goodRoutes = new HashSet<>();
        for (Map.Entry<String, EvidencePair> entry : pairs.entrySet()) {
            RouteEvaluation route =
                    evaluateRoute(entry.getKey(), entry.getValue(), baselines, confidence);
            if (route.verdict() == Verdict.BAD) {
                boolean slowOnly = route.failures() != Verdict.BAD;
                return new VersionEvaluation(
                        Verdict.BAD, Verdict.BAD, slowOnly, route.evidence(), Set.of());
            }
            boolean rare = calls(entry.getValue()) < busiest * RARE_ROUTE_SHARE;
            if (route.verdict() == Verdict.GOOD) {
                goodRoutes.add(entry.getKey());
            }
            allGood &= rare || route.verdict() == Verdict.GOOD;
        }
        RouteEvaluation pooled = evaluatePooled(pairs, baselines, confidence);
        Verdict verdict = allGood && !pairs.isEmpty() ? Verdict.GOOD : Verdict.OPEN;
        boolean slowOnly = pooled.failures() != Verdict.BAD;
        return new VersionEvaluation(
                pooled.verdict() == Verdict.BAD ? Verdict.BAD : verdict,
                pooled.verdict(),
                slowOnly,
                pooled.evidence(),
                goodRoutes);
    }

    private RouteEvaluation evaluatePooled(
            Map<String, EvidencePair> pairs, List<RouteBaseline> baselines, Confidence confidence) {
        EvidenceTotals oldTotals = new EvidenceTotals();
        EvidenceTotals newTotals = new EvidenceTotals();
        for (EvidencePair pair : pairs.values()) {
            oldTotals.add(pair.oldTotals());
            newTotals.add(pair.newTotals());
        }
        EvidencePair pooled = new EvidencePair(oldTotals, newTotals);
        return evaluateRoute(RouteBaseline.ALL_ROUTES, pooled, baselines, confidence);
    }

    private static long calls(EvidencePair pair) {
        return pair.oldTotals().calls() + pair.newTotals().calls();
    }

    /** Returns the old version's counts in this window, with earlier ones added if it has few. */
    private static RouteBaseline baseline(
            String route, EvidenceTotals oldTotals, List<RouteBaseline> baselines) {
        Optional<RouteBaseline> before =
                baselines.stream().filter(b -> b.route().equals(route)).findFirst();
        if (oldTotals.calls() >= ENOUGH_OLD_CALLS || before.isEmpty()) {
            int bucket = oldTotals.quantileBucket(SLOW_QUANTILE);
            return new RouteBaseline(
                    route,
                    oldTotals.calls(),
                    oldTotals.failures(),
                    oldTotals.timedCalls(),
                    oldTotals.slowerThan(bucket),
                    bucket);
        }
        if (oldTotals.calls() < FEW_OLD_CALLS) {
            return plus(before.get(), oldTotals);
        }
        // Current calls have more weight: a problem that has just begun affects both versions.
        return plus(scaled(before.get(), PRIOR_CALLS), oldTotals);
    }

    private static RouteBaseline scaled(RouteBaseline baseline, double toCalls) {
        double factor = Math.min(1, toCalls / Math.max(1, baseline.calls()));
        return new RouteBaseline(
                baseline.route(),
                Math.round(baseline.calls() * factor),
                Math.round(baseline.failures() * factor),
                Math.round(baseline.timedCalls() * factor),
                Math.round(baseline.slow() * factor),
                baseline.slowBucket());
    }

    private static RouteBaseline plus(RouteBaseline earlier, EvidenceTotals oldTotals) {
        return new RouteBaseline(
                earlier.route(),
                earlier.calls() + oldTotals.calls(),
                earlier.failures() + oldTotals.failures(),
                earlier.timedCalls() + oldTotals.timedCalls(),
                earlier.slow() + oldTotals.slowerThan(earlier.slowBucket()),
                earlier.slowBucket());
    }

    /**
     * Adds up the old version's counts of all steps. An earlier baseline with few calls is not
     * extended, so that few early calls do not determine the slow bucket.
     */
    private static RouteBaseline accumulated(
            String route, EvidenceTotals oldTotals, List<RouteBaseline> baselines) {
        return baselines.stream()
                .filter(b -> b.route().equals(route) && b.timedCalls() >= ENOUGH_OLD_CALLS)
                .findFirst()
                .map(earlier -> plus(earlier, oldTotals))
                .orElseGet(() -> baseline(route, oldTotals, baselines));
    }

    /**
     * Returns the old version's counts so far, as the baseline of later steps.
     *
     * @param pairs counts of the current window by route
     * @param baselines the baselines of earlier steps
     * @return a baseline for each route and one for all routes together
     */
    public static List<RouteBaseline> baselines(
            Map<String, EvidencePair> pairs, List<RouteBaseline> baselines) {
        List<RouteBaseline> result = new ArrayList<>();
        EvidenceTotals all = new EvidenceTotals();
        for (Map.Entry<String, EvidencePair> entry : pairs.entrySet()) {
            EvidenceTotals oldTotals = entry.getValue().oldTotals();
            result.add(accumulated(entry.getKey(), oldTotals, baselines));
            all.add(oldTotals);
        }
        result.add(accumulated(RouteBaseline.ALL_ROUTES, all, baselines));
        return result;
    }

    private RouteEvaluation evaluateRoute(
            String route, EvidencePair pair, List<RouteBaseline> baselines, Confidence confidence) {
        RouteBaseline old = baseline(route, pair.oldTotals(), baselines);
        EvidenceTotals newTotals = pair.newTotals();
        Proportion newSlow =
                new Proportion(newTotals.slowerThan(old.slowBucket()), newTotals.timedCalls());
        Verdict failures =
                mRule.evaluate(
                        new Proportion(old.failures(), old.calls()),
                        new Proportion(newTotals.failures(), newTotals.calls()),
                        mMinFailureRise,
                        confidence);
        Verdict slowness =
                old.timedCalls() < MIN_OLD_TIMED_CALLS
                        ? Verdict.OPEN
                        : mRule.evaluate(
                                new Proportion(old.slow(), old.timedCalls()),
                                newSlow,
                                MIN_SLOW_RISE,
                                confidence);
        MoveEvidence evidence =
                new MoveEvidence(
                        route,
                        newTotals.calls(),
                        newTotals.failures(),
                        newSlow.hits(),
                        old.calls(),
                        old.failures(),
                        old.slow(),
                        reason(failures, slowness));
        return new RouteEvaluation(failures, slowness, evidence);
    }

    private static String reason(Verdict failures, Verdict slowness) {
        if (failures == Verdict.BAD) {
            return "fails more often than the old version";
        }
        if (slowness == Verdict.BAD) {
            return "slower than the old version";
        }
        if (failures == Verdict.GOOD && slowness == Verdict.GOOD) {
            return "no worse than the old version";
        }
        return "too few calls for a verdict";
    }
}
