package org.oriolewind.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/**
 * All members known to a node. Merging is commutative and idempotent, so that tables which have
 * seen the same entries in any order are equal.
 *
 * <p>Invariant: the entry of a node never gives way to an earlier one. Changes belong to one
 * thread; {@link #directory()} is safe for use by several.
 */
public final class MemberTable {
    private final TreeMap<String, Member> mMembers = new TreeMap<>();
    private final Map<String, Long> mDownSinceMillis = new HashMap<>();
    private long mDigest;
    private volatile MemberDirectory mDirectory = MemberDirectory.EMPTY;

    /**
     * Takes in entries.
     *
     * @param entries the entries
     * @param nowMillis monotonic time
     * @return those that were later than the ones known
     */
    public List<Member> merge(Collection<Member> entries, long nowMillis) {
        List<Member> changed = new ArrayList<>();
        for (Member entry : entries) {
            Member known = mMembers.get(entry.getNode());
            if (known != null && MemberOrder.LATER.compare(entry, known) <= 0) {
                continue;
            }
            replace(known, entry, nowMillis);
            changed.add(entry);
        }
        if (!changed.isEmpty()) {
            mDirectory = MemberDirectory.of(mMembers.values());
        }
        return changed;
    }

    private void replace(Member known, Member entry, long nowMillis) {
        if (known != null) {
            mDigest -= MemberOrder.hash(known);
        }
        mDigest += MemberOrder.hash(entry);
        mMembers.put(entry.getNode(), entry);
        if (entry.getState() == MemberState.MEMBER_STATE_DOWN) {
            mDownSinceMillis.put(entry.getNode(), nowMillis);
        } else {
            mDownSinceMillis.remove(entry.getNode());
        }
    }

    /**
     * Forgets members that have been down for long.
     *
     * @param beforeMillis monotonic time; members down since before are forgotten
     */
    public void removeDownBefore(long beforeMillis) {
        List<String> gone = new ArrayList<>();
        mDownSinceMillis.forEach(
                (node, since) -> {
                    if (since < beforeMillis) {
                        gone.add(node);
                    }
                });
        for (String node : gone) {
            mDownSinceMillis.remove(node);
            mMembers.remove(node);
        }
    }

    /**
     * Returns a digest over all members that are not down.
     *
     * @return equal for equal tables
     */
    public long digest() {
        return mDigest;
    }

    /**
     * Finds an entry.
     *
     * @param node the node's name
     * @return the entry, or empty if the node is not known
     */
    public Optional<Member> find(String node) {
        return Optional.ofNullable(mMembers.get(node));
    }

    /**
     * Returns all entries.
     *
     * @return the entries by node name, a view
     */
    public Collection<Member> all() {
        return mMembers.values();
    }

    /**
     * Returns the entries that are later than a peer's, or that the peer lacks.
     *
     * @param theirs the peer's entries
     * @return the entries to send
     */
    public List<Member> newerThan(Collection<Member> theirs) {
        Map<String, Member> known = new HashMap<>();
        theirs.forEach(member -> known.put(member.getNode(), member));
        List<Member> later = new ArrayList<>();
        for (Member mine : mMembers.values()) {
            Member their = known.get(mine.getNode());
            if (their == null || MemberOrder.LATER.compare(mine, their) > 0) {
                later.add(mine);
            }
        }
        return later;
    }

    /**
     * Returns a view for the request path.
     *
     * @return an immutable view, replaced with each change
     */
    public MemberDirectory directory() {
        return mDirectory;
    }
}
