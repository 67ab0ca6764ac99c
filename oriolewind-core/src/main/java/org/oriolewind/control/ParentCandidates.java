package org.oriolewind.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/**
 * The nodes that a node without a parent dials, in this order: the lease holder, its standby, nodes
 * of the data centre whose names sort before its own, and the seeds. A leader that was lost is
 * tried last. Confined to the control thread.
 */
final class ParentCandidates {
    private static final int MAX_DIALS_PER_SEARCH = 12;
    private static final int RANDOM_CANDIDATES = 2;

    private final ControlContext mContext;
    private final ArrayDeque<String> mAddresses = new ArrayDeque<>();
    private boolean mSearching;
    private int mDialsLeft;

    ParentCandidates(ControlContext context) {
        mContext = context;
    }

    /**
     * Returns the next peer address to dial, or empty at the end of a search. The first call after
     * {@link #clear()} begins a search; addresses added with {@link #addFirst} before that call are
     * dialed first.
     */
    Optional<String> next(String leaderAddress, boolean leaderLost, String standby) {
        if (!mSearching) {
            mSearching = true;
            fill(leaderAddress, leaderLost, standby);
        }
        if (mDialsLeft == 0 || mAddresses.isEmpty()) {
            return Optional.empty();
        }
        mDialsLeft--;
        return Optional.of(mAddresses.poll());
    }

    /** Adds an address ahead of all others, unless it is this node's own. */
    void addFirst(String address) {
        if (!address.equals(mContext.self().getPeerAddress())) {
            mAddresses.addFirst(address);
        }
    }

    /** Ends the search and removes all addresses. */
    void clear() {
        mAddresses.clear();
        mSearching = false;
    }

    private void fill(String leaderAddress, boolean leaderLost, String standby) {
        mDialsLeft = MAX_DIALS_PER_SEARCH;
        if (!leaderLost) {
            addLast(leaderAddress);
        }
        mContext.mMembers.find(standby).ifPresent(m -> addLast(m.getPeerAddress()));
        List<String> earlier = earlierNamedPeers();
        if (!earlier.isEmpty()) {
            addLast(earlier.get(0));
            Collections.shuffle(earlier, new Random(mContext.mRandom.nextLong()));
            earlier.stream().limit(RANDOM_CANDIDATES).forEach(this::addLast);
        }
        mContext.mSettings.seeds().forEach(this::addLast);
        if (leaderLost) {
            addLast(leaderAddress);
        }
    }

    /**
     * Returns the addresses of nodes of this data centre that are not down and whose names sort
     * before this node's, in order.
     */
    private List<String> earlierNamedPeers() {
        List<String> earlier = new ArrayList<>();
        for (Member member : mContext.mMembers.all()) {
            if (member.getNode().equals(mContext.node())) {
                break;
            }
            if (member.getDataCentre().equals(mContext.dataCentre())
                    && member.getState() != MemberState.MEMBER_STATE_DOWN) {
                earlier.add(member.getPeerAddress());
            }
        }
        return earlier;
    }

    private void addLast(String address) {
        boolean usable =
                !address.isEmpty()
                        && !address.equals(mContext.self().getPeerAddress())
                        && !mAddresses.contains(address);
        if (usable) {
            mAddresses.add(address);
        }
    }
}
