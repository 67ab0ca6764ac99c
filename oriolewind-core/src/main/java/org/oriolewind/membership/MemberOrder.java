package org.oriolewind.membership;

import java.util.Comparator;
import net.openhft.hashing.LongHashFunction;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/** Which of two entries of the same node is the later one. Stateless. */
final class MemberOrder {
    static final Comparator<Member> LATER =
            Comparator.comparingLong(Member::getIncarnation)
                    .thenComparingLong(Member::getSequence)
                    .thenComparingInt(Member::getStateValue);

    private MemberOrder() {}

    /** Hashes what decides the order. Entries of nodes that are down count as absent. */
    static long hash(Member member) {
        if (member.getState() == MemberState.MEMBER_STATE_DOWN) {
            return 0;
        }
        long node = LongHashFunction.xx3().hashChars(member.getNode());
        long[] parts = {
            node, member.getIncarnation(), member.getSequence(), member.getStateValue()
        };
        return LongHashFunction.xx3().hashLongs(parts);
    }
}
