package org.oriolewind.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/** The members that accept calls, indexed by service and version. Immutable, so thread-safe. */
public final class MemberDirectory {
    /** The directory before any member is known. */
    public static final MemberDirectory EMPTY = of(List.of());

    private final Map<TargetKey, List<Member>> mUp = new HashMap<>();

    private MemberDirectory() {}

    static MemberDirectory of(Collection<Member> members) {
        MemberDirectory directory = new MemberDirectory();
        for (Member member : members) {
            if (member.getState() == MemberState.MEMBER_STATE_UP) {
                TargetKey key = new TargetKey(member.getService(), member.getServiceVersion());
                directory.mUp.computeIfAbsent(key, k -> new ArrayList<>()).add(member);
            }
        }
        directory.mUp.replaceAll((key, list) -> List.copyOf(list));
        return directory;
    }

    /**
     * Returns the members that run a version of a service and are neither leaving nor down.
     *
     * @param service the service's name
     * @param version version of the backend server
     * @return the members of all data centres, sorted by node name; empty if there is none
     */
    public List<Member> up(String service, String version) {
        return mUp.getOrDefault(new TargetKey(service, version), List.of());
    }

    private record TargetKey(String service, String version) {}
}
