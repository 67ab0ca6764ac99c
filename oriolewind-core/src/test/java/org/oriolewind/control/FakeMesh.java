package org.oriolewind.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.ConfigPublisher;
import org.oriolewind.config.TestNotes;
import org.oriolewind.membership.MembersObject;
import org.oriolewind.platform.MemoryObjectStore;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.platform.StoredObject;
import org.oriolewind.time.FakeClock;

/**
 * The control planes of several nodes on an in-memory network, with a fake clock and an in-memory
 * store. A run is reproducible: the same seed and steps give the same result.
 */
final class FakeMesh {
    private static final long TICK_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 4;

    final FakeClock mClock = new FakeClock();
    final MemoryObjectStore mStore = new MemoryObjectStore();
    final Random mRandom;
    final Map<String, FakeNode> mNodes = new TreeMap<>();
    private final Set<String> mIsolated = new HashSet<>();
    private final PriorityQueue<Delivery> mDeliveries = new PriorityQueue<>();
    private final Map<String, Long> mStoredTerms = new HashMap<>();
    private long mCheckReads;
    private long mNextOrder;
    private long mNextLink = 1;
    private long mNextIncarnation = 1;

    FakeMesh(long seed) {
        mRandom = new Random(seed);
    }

    /** Work to run at a node at a given time; ties run in the order of creation. */
    private record Delivery(long atMillis, long order, FakeNode node, Runnable work)
            implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    FakeNode start(String name, String dataCentre) {
        FakeNode node = new FakeNode(this, name, dataCentre, mNextIncarnation++);
        mNodes.put(name, node);
        return node;
    }

    void startAll(int dataCentres, int nodesEach) {
        for (int d = 0; d < dataCentres; d++) {
            for (int n = 0; n < nodesEach; n++) {
                start(String.format("dc%d-n%02d", d, n), "dc" + d);
            }
        }
    }

    void kill(String name) {
        FakeNode node = mNodes.remove(name);
        node.stop();
    }

    /** Starts or ends a network partition between a data centre and all else, platform included. */
    void isolate(String dataCentre, boolean cut) {
        if (cut) {
            mIsolated.add(dataCentre);
        } else {
            mIsolated.remove(dataCentre);
        }
    }

    boolean reachable(FakeNode from, FakeNode to) {
        return from.mDataCentre.equals(to.mDataCentre)
                || !mIsolated.contains(from.mDataCentre) && !mIsolated.contains(to.mDataCentre);
    }

    boolean reachesPlatform(FakeNode node) {
        return !mIsolated.contains(node.mDataCentre);
    }

    long nextLinkId() {
        return mNextLink++;
    }

    FakeNode at(String address) {
        return mNodes.get(address.substring(0, address.indexOf(':')));
    }

    void deliver(FakeNode node, Runnable work) {
        deliver(node, 1 + mRandom.nextInt((int) MAX_DELAY_MILLIS), work);
    }

    void deliver(FakeNode node, long delayMillis, Runnable work) {
        long atMillis = mClock.monotonicMillis() + delayMillis;
        mDeliveries.add(new Delivery(atMillis, mNextOrder++, node, work));
    }

    /** Advances the clock in steps of 1 ms, delivers what is due and ticks the nodes. */
    void run(long millis) {
        long endMillis = mClock.monotonicMillis() + millis;
        while (mClock.monotonicMillis() < endMillis) {
            mClock.advanceMillis(1);
            List<Delivery> deferred = new ArrayList<>();
            while (!mDeliveries.isEmpty()
                    && mDeliveries.peek().atMillis() <= mClock.monotonicMillis()) {
                Delivery due = mDeliveries.poll();
                if (due.node().mPaused) {
                    deferred.add(due);
                } else if (due.node().mAlive) {
                    due.work().run();
                }
            }
            mDeliveries.addAll(deferred);
            if (mClock.monotonicMillis() % TICK_MILLIS == 0) {
                mNodes.values().forEach(FakeNode::tick);
                checkStoredTerms();
            }
        }
    }

    /** Checks that no write of an earlier term takes effect after one of a later term. */
    private void checkStoredTerms() {
        mCheckReads++;
        try {
            for (StoredObject stored :
                    new NoWaitStore(mStore).list(MembersObject.PREFIX).objects()) {
                long term = MembersObject.decode(stored.value().orElseThrow(), "test").term();
                if (term < mStoredTerms.merge(stored.key(), term, Math::max)) {
                    throw new AssertionError(stored.key() + " returned to term " + term);
                }
            }
        } catch (PlatformException e) {
            // During an outage nothing can be written either.
            return;
        } catch (ConfigException e) {
            throw new AssertionError(e);
        }
    }

    /** Runs until a condition holds. Returns the time taken in milliseconds, or -1 at the limit. */
    long runUntil(long limitMillis, java.util.function.BooleanSupplier condition) {
        long start = mClock.monotonicMillis();
        while (mClock.monotonicMillis() - start < limitMillis) {
            if (condition.getAsBoolean()) {
                return mClock.monotonicMillis() - start;
            }
            run(TICK_MILLIS);
        }
        return condition.getAsBoolean() ? mClock.monotonicMillis() - start : -1;
    }

    long publish(String note) {
        try {
            return new ConfigPublisher(mStore, mClock)
                    .publish(TestNotes.read(note))
                    .head()
                    .config()
                    .version();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    long publishMove(String id) {
        return publish(
                String.format(
                        """
                        {"id": "%s", "services": {"changed": [
                         {"name": "holders", "shares": {"v1": %d, "v2": %d}}]}}
                        """,
                        id, Math.abs(id.hashCode() % 100), 100 - Math.abs(id.hashCode() % 100)));
    }

    /** Returns the number of reads and writes by the nodes at the platform, watches left out. */
    long platformCalls() {
        var counts = mStore.counts();
        return counts.reads() + counts.writes() - mCheckReads;
    }

    boolean allAt(long version) {
        return mNodes.values().stream().allMatch(n -> n.version() >= version);
    }

    /**
     * Returns whether all nodes have all live nodes in their tables, and each data centre has one
     * leader with all its nodes in the leader's tree.
     */
    boolean settled() {
        for (FakeNode node : mNodes.values()) {
            ControlStatus status = node.mControl.status();
            boolean rooted = !status.path().isEmpty() && leader(node.mDataCentre) != null;
            if (!rooted || !status.path().get(0).equals(leader(node.mDataCentre))) {
                return false;
            }
            if (node.upMembers() != mNodes.size()) {
                return false;
            }
        }
        return true;
    }

    String leader(String dataCentre) {
        String leader = null;
        for (FakeNode node : mNodes.values()) {
            if (node.mDataCentre.equals(dataCentre) && node.mControl.status().lead()) {
                if (leader != null) {
                    throw new AssertionError("two leaders: " + leader + " and " + node.mName);
                }
                leader = node.mName;
            }
        }
        return leader;
    }
}
