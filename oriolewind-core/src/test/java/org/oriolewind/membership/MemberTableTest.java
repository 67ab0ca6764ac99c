package org.oriolewind.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

class MemberTableTest {
    private static Member member(String node, long incarnation, long sequence, MemberState state) {
        return Member.newBuilder()
                .setNode(node)
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setState(state)
                .setService("press")
                .setServiceVersion("v1")
                .build();
    }

    private static List<Member> entries(Random random) {
        MemberState[] states = {
            MemberState.MEMBER_STATE_UP,
            MemberState.MEMBER_STATE_LEAVING,
            MemberState.MEMBER_STATE_DOWN
        };
        List<Member> entries = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            entries.add(
                    member(
                            "n" + random.nextInt(6),
                            random.nextInt(3),
                            random.nextInt(4),
                            states[random.nextInt(3)]));
        }
        return entries;
    }

    /** Tables that saw the same entries, in any order and any number of times, are equal. */
    @Property(tries = 200, seed = "3")
    void mergeCommutesAndRepeats(@ForAll long seed) {
        Random random = new Random(seed);
        List<Member> entries = entries(random);
        MemberTable one = new MemberTable();
        one.merge(entries, 0);
        List<Member> shuffled = new ArrayList<>(entries);
        shuffled.addAll(entries.subList(0, 10));
        Collections.shuffle(shuffled, random);
        MemberTable other = new MemberTable();
        shuffled.forEach(entry -> other.merge(List.of(entry), 0));
        assertEquals(List.copyOf(one.all()), List.copyOf(other.all()));
        assertEquals(one.digest(), other.digest());
        assertTrue(one.newerThan(other.all()).isEmpty());
    }

    @Test
    void restartedNodeWinsOverWhatWasSaidOfItsPredecessor() {
        MemberTable table = new MemberTable();
        table.merge(List.of(member("n", 1, 9, MemberState.MEMBER_STATE_DOWN)), 0);
        table.merge(List.of(member("n", 2, 1, MemberState.MEMBER_STATE_UP)), 0);
        table.merge(List.of(member("n", 1, 12, MemberState.MEMBER_STATE_DOWN)), 0);
        assertEquals(1, table.directory().up("press", "v1").size());
    }

    @Test
    void downWinsOverUpUntilTheNodeRefutesIt() {
        MemberTable table = new MemberTable();
        table.merge(List.of(member("n", 1, 1, MemberState.MEMBER_STATE_UP)), 0);
        table.merge(List.of(member("n", 1, 1, MemberState.MEMBER_STATE_DOWN)), 0);
        assertTrue(table.directory().up("press", "v1").isEmpty());
        table.merge(List.of(member("n", 1, 2, MemberState.MEMBER_STATE_UP)), 0);
        assertEquals(1, table.directory().up("press", "v1").size());
    }

    @Test
    void membersDownForLongAreForgotten() {
        MemberTable table = new MemberTable();
        table.merge(List.of(member("n", 1, 1, MemberState.MEMBER_STATE_DOWN)), 1000);
        table.removeDownBefore(1000);
        assertEquals(1, table.all().size());
        table.removeDownBefore(1001);
        assertTrue(table.all().isEmpty());
        assertEquals(new MemberTable().digest(), table.digest());
    }
}
