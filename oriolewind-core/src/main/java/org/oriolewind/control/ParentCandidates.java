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
 * The nodes that a node without a parent asks, in the order of asking: the lease holder, its
 * standby, nodes of the data centre whose names come before its own, and the seeds. Belongs to the
 * control thread.
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
     * Returns the next peer address to ask, or empty at the end of a search. The first call after
     * {@link #clear()} begins a search; addresses put first before it are asked first.
     */
    Optional<String> next(String leadAddress, boolean leadLost, String standby) {
        if (!mSearching) {
            mSearching = true;
            fill(leadAddress, leadLost, standby);
        }
        if (mDialsLeft == 0 || mAddresses.isEmpty()) {
            return Optional.empty();
        }
        mDialsLeft--;
        return Optional.of(mAddresses.poll());
    }

    /** Puts an address before all others. */
    void addFirst(String address) {
        if (!address.equals(mContext.self().getPeerAddress())) {
            mAddresses.addFirst(address);
        }
    }

    /** Ends the search. */
    void clear() {
        mAddresses.clear();
        mSearching = false;
    }

    private void fill(String leadAddress, boolean leadLost, String standby) {
        mDialsLeft = MAX_DIALS_PER_SEARCH;
        if (!leadLost) {
            addLast(leadAddress);
        }
        mContext.mMembers.find(standby).ifPresent(m -> addLast(m.getPeerAddress()));
        List<String> lower = lowerPeers();
        if (!lower.isEmpty()) {
            addLast(lower.get(0));
            Collections.shuffle(lower, new Random(mContext.mRandom.nextLong()));
            lower.stream().limit(RANDOM_CANDIDATES).forEach(this::addLast);
        }
        mContext.mSettings.seeds().forEach(this::addLast);
        if (leadLost) {
            addLast(leadAddress);
        }
    }

    /** Returns live nodes of this data centre whose names come before this node's, in order. */
    private List<String> lowerPeers() {
        List<String> lower = new ArrayList<>();
        for (Member member : mContext.mMembers.all()) {
            if (member.getNode().equals(mContext.node())) {
                break;
            }
            if (member.getDataCentre().equals(mContext.dataCentre())
                    && member.getState() != MemberState.MEMBER_STATE_DOWN) {
                lower.add(member.getPeerAddress());
            }
        }
        return lower;
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
