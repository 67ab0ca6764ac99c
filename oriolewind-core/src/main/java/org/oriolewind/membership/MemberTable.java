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
 * The members of the mesh as one node has them, with one entry each. Merging is commutative and
 * idempotent, so that tables that have received the same entries in any order are equal.
 *
 * <p>Invariant: an entry is never replaced by an earlier one of the same node. Confined to one
 * thread, except for {@link #directory()}, which is thread-safe.
 */
public final class MemberTable {
    private final TreeMap<String, Member> mMembers = new TreeMap<>();
    private final Map<String, Long> mDownSinceMillis = new HashMap<>();
    private long mDigest;
    private volatile MemberDirectory mDirectory = MemberDirectory.EMPTY;

    /**
     * Merges entries into the table.
     *
     * @param entries entries of any nodes
     * @param nowMillis monotonic time in milliseconds
     * @return the entries that were new or later than those in the table, in the order given
     */
    public List<Member> merge(Collection<Member> entries, long nowMillis) {
        List<Member> changed = new ArrayList<>();
        for (Member entry : entries) {
            Member current = mMembers.get(entry.getNode());
            if (current != null && MemberOrder.BY_RECENCY.compare(entry, current) <= 0) {
                continue;
            }
            replace(current, entry, nowMillis);
            changed.add(entry);
        }
        if (!changed.isEmpty()) {
            mDirectory = MemberDirectory.of(mMembers.values());
        }
        return changed;
    }

    private void replace(Member current, Member entry, long nowMillis) {
        if (current != null) {
            mDigest -= MemberOrder.hash(current);
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
     * Removes members that have been down for long.
     *
     * @param beforeMillis monotonic time in milliseconds; members down since before it are removed
     */
    public void removeDownBefore(long beforeMillis) {
        List<String> expired = new ArrayList<>();
        mDownSinceMillis.forEach(
                (node, since) -> {
                    if (since < beforeMillis) {
                        expired.add(node);
                    }
                });
        for (String node : expired) {
            mDownSinceMillis.remove(node);
            mMembers.remove(node);
        }
    }

    /**
     * Returns a digest over all members that are not down. It does not depend on the order of
     * merges.
     *
     * @return a 64-bit digest, equal for equal tables, 0 for an empty one
     */
    public long digest() {
        return mDigest;
    }

    /**
     * Finds the entry of a node.
     *
     * @param node the node's name
     * @return the entry, down or not, or empty if the node is not in the table
     */
    public Optional<Member> find(String node) {
        return Optional.ofNullable(mMembers.get(node));
    }

    /**
     * Returns all entries, members that are down included.
     *
     * @return the entries sorted by node name, as a view that follows later changes
     */
    public Collection<Member> all() {
        return mMembers.values();
    }

    /**
     * Returns the entries that are later than a peer's, or that the peer lacks.
     *
     * @param peerEntries the peer's entries, all of its table
     * @return the entries to send to the peer, sorted by node name
     */
    public List<Member> newerThan(Collection<Member> peerEntries) {
        Map<String, Member> peerEntryByNode = new HashMap<>();
        peerEntries.forEach(member -> peerEntryByNode.put(member.getNode(), member));
        List<Member> later = new ArrayList<>();
        for (Member ownEntry : mMembers.values()) {
            Member peerEntry = peerEntryByNode.get(ownEntry.getNode());
            if (peerEntry == null || MemberOrder.BY_RECENCY.compare(ownEntry, peerEntry) > 0) {
                later.add(ownEntry);
            }
        }
        return later;
    }

    /**
     * Returns the members that accept calls, for the request path. Thread-safe.
     *
     * @return an immutable directory, replaced by another on each change
     */
    public MemberDirectory directory() {
        return mDirectory;
    }
}
