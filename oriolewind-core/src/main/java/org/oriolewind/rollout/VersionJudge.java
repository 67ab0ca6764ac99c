package org.oriolewind.rollout;

import java.util.Map;
import org.oriolewind.config.MoveEvidence;

/**
 * Judges a version over all its routes. One bad route makes the version bad; it is good when every
 * route with calls is good. Stateless and safe for use by several threads.
 */
public final class VersionJudge {
    /** Share of the old version's calls that count as not slow. */
    private static final double SLOW_QUANTILE = 0.9;

    /** Smallest rise of the failed share that matters. */
    private static final double FAILURE_HARM = 0.05;

    /** Smallest rise of the slow share that matters. */
    private static final double SLOW_HARM = 0.25;

    /** Old calls needed on a route before its latency is compared. */
    private static final long MIN_OLD_CALLS = 20;

    private final ProportionRule mRule;

    /**
     * Creates a judge.
     *
     * @param rule the rule for each proportion
     */
    public VersionJudge(ProportionRule rule) {
        mRule = rule;
    }

    /**
     * Judges a version.
     *
     * @param pairs counts by route
     * @return the verdict, with the counts of the route that decided or is furthest from a verdict
     */
    public Judgement judge(Map<String, EvidencePair> pairs) {
        Judgement good = null;
        Judgement open = null;
        for (Map.Entry<String, EvidencePair> entry : pairs.entrySet()) {
            Judgement judgement = judgeRoute(entry.getKey(), entry.getValue());
            switch (judgement.verdict()) {
                case BAD -> {
                    return judgement;
                }
                case GOOD -> good = judgement;
                default -> open = judgement;
            }
        }
        if (open != null) {
            return open;
        }
        if (good != null) {
            return good;
        }
        return new Judgement(
                Verdict.OPEN, new MoveEvidence("*", 0, 0, 0, 0, 0, 0, "no calls in this step"));
    }

    private Judgement judgeRoute(String route, EvidencePair pair) {
        EvidenceTotals oldTotals = pair.oldTotals();
        EvidenceTotals newTotals = pair.newTotals();
        Verdict failures =
                mRule.judge(
                        new Proportion(oldTotals.failures(), oldTotals.calls()),
                        new Proportion(newTotals.failures(), newTotals.calls()),
                        FAILURE_HARM);
        int bucket = oldTotals.quantileBucket(SLOW_QUANTILE);
        Proportion oldSlow = new Proportion(oldTotals.slowerThan(bucket), oldTotals.calls());
        Proportion newSlow = new Proportion(newTotals.slowerThan(bucket), newTotals.calls());
        Verdict slowness =
                oldTotals.calls() < MIN_OLD_CALLS
                        ? Verdict.OPEN
                        : mRule.judge(oldSlow, newSlow, SLOW_HARM);
        Verdict verdict = worse(failures, slowness);
        MoveEvidence evidence =
                new MoveEvidence(
                        route,
                        newTotals.calls(),
                        newTotals.failures(),
                        newSlow.hits(),
                        oldTotals.calls(),
                        oldTotals.failures(),
                        oldSlow.hits(),
                        reason(failures, slowness));
        return new Judgement(verdict, evidence);
    }

    private static Verdict worse(Verdict failures, Verdict slowness) {
        if (failures == Verdict.BAD || slowness == Verdict.BAD) {
            return Verdict.BAD;
        }
        return failures == Verdict.GOOD && slowness == Verdict.GOOD ? Verdict.GOOD : Verdict.OPEN;
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
