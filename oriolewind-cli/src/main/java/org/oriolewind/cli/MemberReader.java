package org.oriolewind.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oriolewind.error.OperationException;
import org.oriolewind.membership.MembersObject;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.wire.Member;

/**
 * Reads the members of all data centres from the platform, ordered by data centre and node name.
 * Stateless.
 */
final class MemberReader {
    private MemberReader() {}

    static List<Member> read(ObjectStore store) throws OperationException {
        List<Member> members = new ArrayList<>();
        for (StoredObject stored : store.list(MembersObject.PREFIX).objects()) {
            if (stored.value().isPresent()) {
                members.addAll(MembersObject.decode(stored.value().get(), "platform").members());
            }
        }
        members.sort(Comparator.comparing(Member::getDataCentre).thenComparing(Member::getNode));
        return members;
    }
}
