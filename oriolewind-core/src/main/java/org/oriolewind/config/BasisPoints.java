package org.oriolewind.config;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** Conversions of traffic shares in basis points, hundredths of a percent. Stateless. */
public final class BasisPoints {
    /** All of the traffic, in basis points. */
    public static final int FULL_SHARE_BPS = 10_000;

    private static final int BPS_PER_PERCENT = 100;

    private BasisPoints() {}

    /**
     * Converts a share in percent to basis points.
     *
     * @param percent the share in percent
     * @return the share in basis points, rounded half up
     */
    public static int fromPercent(BigDecimal percent) {
        return percent.multiply(BigDecimal.valueOf(BPS_PER_PERCENT))
                .setScale(0, RoundingMode.HALF_UP)
                .intValue();
    }

    /**
     * Formats a share for a person.
     *
     * @param shareBps the share in basis points
     * @return the share with a percent sign, such as {@code 12.5%}
     */
    public static String toText(int shareBps) {
        BigDecimal percent = BigDecimal.valueOf(shareBps, 2).stripTrailingZeros();
        return percent.toPlainString() + "%";
    }
}
