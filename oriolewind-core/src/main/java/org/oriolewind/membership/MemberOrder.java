package org.oriolewind.membership;

import java.util.Comparator;
import net.openhft.hashing.LongHashFunction;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/**
 * Order of the entries of one node: by incarnation, then sequence number, then state, so that down
 * overrides up until the node refutes it. Stateless.
 */
final class MemberOrder {
    static final Comparator<Member> BY_RECENCY =
            Comparator.comparingLong(Member::getIncarnation)
                    .thenComparingLong(Member::getSequence)
                    .thenComparingInt(Member::getStateValue);

    private MemberOrder() {}

    /**
     * Hashes the fields that decide the order. An entry of a node that is down hashes to 0, as if
     * it were absent, so that its removal does not change a digest.
     */
    static long hash(Member member) {
        if (member.getState() == MemberState.MEMBER_STATE_DOWN) {
            return 0;
        }
        long node = LongHashFunction.xx3().hashChars(member.getNode());
        long[] fields = {
            node, member.getIncarnation(), member.getSequence(), member.getStateValue()
        };
        return LongHashFunction.xx3().hashLongs(fields);
    }
}
