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
 * Judges a version over all its routes. One bad route makes the version bad, however rare.
 * Stateless and safe for use by several threads.
 */
public final class VersionEvaluator {
    /** Share of the old version's calls that count as not slow. */
    private static final double SLOW_QUANTILE = 0.9;

    /** Smallest rise of the failed share that matters, as a rule. */
    private static final double FAILURE_HARM = 0.05;

    /** Smallest rise of the slow share that matters. */
    private static final double SLOW_HARM = 0.25;

    /** Share of the busiest route's calls below which a route can't hold the version back. */
    private static final double RARE_SHARE = 0.1;

    /** Old calls from which the present window alone is the comparison. */
    private static final long ENOUGH_OLD_CALLS = 50;

    /** Old calls from which the present window outweighs what was before. */
    private static final long FEW_OLD_CALLS = 5;

    /** Calls for which the time before counts beside a window with few old calls. */
    private static final double PRIOR_CALLS = 20;

    /** Old calls needed before latency is compared. */
    private static final long MIN_OLD_CALLS = 20;

    private final ProportionRule mRule;
    private final double mFailureHarm;

    /**
     * Creates a judge.
     *
     * @param rule the rule for each proportion
     */
    public VersionEvaluator(ProportionRule rule) {
        this(rule, FAILURE_HARM);
    }

    /**
     * Creates a judge for calls that are few.
     *
     * @param rule the rule for each proportion
     * @param failureHarm smallest rise of the failed share that matters
     */
    public VersionEvaluator(ProportionRule rule, double failureHarm) {
        mRule = rule;
        mFailureHarm = failureHarm;
    }

    /** The verdicts on one route. */
    private record RouteJudgement(Verdict failures, Verdict slowness, MoveEvidence evidence) {
        Verdict verdict() {
            if (failures == Verdict.BAD || slowness == Verdict.BAD) {
                return Verdict.BAD;
            }
            boolean good = failures == Verdict.GOOD && slowness == Verdict.GOOD;
            return good ? Verdict.GOOD : Verdict.OPEN;
        }
    }

    /**
     * Judges a version.
     *
     * @param pairs counts by route
     * @param baselines what the old version did before, by route
     * @param certainty how sure a verdict against the version has to be
     * @return the judgement, with the counts of the route that decided, or of all calls together
     */
    public VersionEvaluation judge(
            Map<String, EvidencePair> pairs, List<RouteBaseline> baselines, Confidence certainty) {
        long busiest = pairs.values().stream().mapToLong(VersionEvaluator::calls).max().orElse(0);
        boolean allGood = true;
        Set<String> goodRoutes = new HashSet<>();
        for (Map.Entry<String, EvidencePair> entry : pairs.entrySet()) {
            RouteJudgement route =
                    judgeRoute(entry.getKey(), entry.getValue(), baselines, certainty);
            if (route.verdict() == Verdict.BAD) {
                boolean slowOnly = route.failures() != Verdict.BAD;
                return new VersionEvaluation(
                        Verdict.BAD, Verdict.BAD, slowOnly, route.evidence(), Set.of());
            }
            boolean rare = calls(entry.getValue()) < busiest * RARE_SHARE;
            if (route.verdict() == Verdict.GOOD) {
                goodRoutes.add(entry.getKey());
            }
            allGood &= rare || route.verdict() == Verdict.GOOD;
        }
        RouteJudgement pooled = judgePooled(pairs, baselines, certainty);
        Verdict verdict = allGood && !pairs.isEmpty() ? Verdict.GOOD : Verdict.OPEN;
        boolean slowOnly = pooled.failures() != Verdict.BAD;
        return new VersionEvaluation(
                pooled.verdict() == Verdict.BAD ? Verdict.BAD : verdict,
                pooled.verdict(),
                slowOnly,
                pooled.evidence(),
                goodRoutes);
    }

    private RouteJudgement judgePooled(
            Map<String, EvidencePair> pairs, List<RouteBaseline> baselines, Confidence certainty) {
        EvidenceTotals oldTotals = new EvidenceTotals();
        EvidenceTotals newTotals = new EvidenceTotals();
        for (EvidencePair pair : pairs.values()) {
            oldTotals.add(pair.oldTotals());
            newTotals.add(pair.newTotals());
        }
        EvidencePair pooled = new EvidencePair(oldTotals, newTotals);
        return judgeRoute(RouteBaseline.ALL_ROUTES, pooled, baselines, certainty);
    }

    private static long calls(EvidencePair pair) {
        return pair.oldTotals().calls() + pair.newTotals().calls();
    }

    /** Returns what the old version did, in this window or, if that is too little, before. */
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
        // Calls of the present weigh more: trouble that began just now concerns both versions.
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

    /** Adds up what the old version did over all steps; few early calls do not set the bucket. */
    private static RouteBaseline accumulated(
            String route, EvidenceTotals oldTotals, List<RouteBaseline> baselines) {
        return baselines.stream()
                .filter(b -> b.route().equals(route) && b.timedCalls() >= ENOUGH_OLD_CALLS)
                .findFirst()
                .map(earlier -> plus(earlier, oldTotals))
                .orElseGet(() -> baseline(route, oldTotals, baselines));
    }

    /**
     * Returns what the old version did by now, for later steps.
     *
     * @param pairs counts by route
     * @param baselines what it did before
     * @return the baselines of each route and of all calls together
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

    private RouteJudgement judgeRoute(
            String route, EvidencePair pair, List<RouteBaseline> baselines, Confidence certainty) {
        RouteBaseline old = baseline(route, pair.oldTotals(), baselines);
        EvidenceTotals newTotals = pair.newTotals();
        Proportion newSlow =
                new Proportion(newTotals.slowerThan(old.slowBucket()), newTotals.timedCalls());
        Verdict failures =
                mRule.judge(
                        new Proportion(old.failures(), old.calls()),
                        new Proportion(newTotals.failures(), newTotals.calls()),
                        mFailureHarm,
                        certainty);
        Verdict slowness =
                old.timedCalls() < MIN_OLD_CALLS
                        ? Verdict.OPEN
                        : mRule.judge(
                                new Proportion(old.slow(), old.timedCalls()),
                                newSlow,
                                SLOW_HARM,
                                certainty);
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
        return new RouteJudgement(failures, slowness, evidence);
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
