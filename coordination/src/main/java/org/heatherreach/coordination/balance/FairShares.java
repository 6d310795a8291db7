package org.heatherreach.coordination.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.heatherreach.state.id.WorkspaceId;

/**
 * Orders requests by priority, but grants each class and each workspace a part of the share of requests that the others
 * get. Among requests of one priority, those of workspaces that took more than their share of the slots lately come last.
 * The fair share is the number of slots that were taken, divided by the number of workspaces with requests.
 *
 * <p>Invariants: each class and workspace with a request that waits or runs has an entry; the other entries are removed
 * after two intervals without decisions. An entry that was removed and created again grants the same.
 *
 * <p>Confined to one duty thread.
 */
final class FairShares implements ShareRule {
    /**
     * The part of the others' share that is granted. More than a quarter, since some requests that are dispatched late
     * miss their deadlines.
     */
    private static final double GRANTED_PART = 0.32;

    /** A class with fewer decisions is not compared with, since its share may be an exception. */
    private static final int MIN_COMPARED_DECISIONS = 10;

    /**
     * A workspace with fewer decisions gets none raised: it waits no longer than its class, and a part of few requests is
     * at most one.
     */
    private static final int MIN_RAISED_DECISIONS = 4;

    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Stands for the workspace of requests without one; the id of a workspace is not blank. */
    private static final String NO_WORKSPACE = "";

    private final long seed;
    private final Map<Integer, ServedShare> classes = new HashMap<>();
    private final Map<String, ServedShare> workspaces = new HashMap<>();
    private final Map<Long, Member> members = new HashMap<>();
    private final ServedShare total = new ServedShare(0);
    private long interval;
    private long passNumber;
    private ShareCounts counts = ShareCounts.NONE;

    /**
     * Creates a rule without requests.
     *
     * @param seed makes the daemons grant different fractions of a request before any decision
     */
    FairShares(long seed) {
        this.seed = seed;
    }

    @Override
    public void enter(PoolRequest request, Option<WorkspaceId> workspace, long nowNanos) {
        advanceInterval(Math.floorDiv(nowNanos, INTERVAL_NANOS));
        String name = workspace.map(WorkspaceId::value).getOrElse(NO_WORKSPACE);
        Member member = new Member(
                classes.computeIfAbsent(request.priority(), this::createEntry),
                workspaces.computeIfAbsent(name, this::createEntry));
        members.put(request.ticket(), member);
        member.ofClass.enter();
        member.ofWorkspace.enter();
        total.enter();
    }

    @Override
    public DispatchOrder dispatch(PoolRequest request) {
        Member member = members.get(request.ticket());
        member.ofClass.dispatch();
        member.ofWorkspace.dispatch();
        total.dispatch();
        counts = counts.plus(member.order);
        return member.order;
    }

    @Override
    public void end(PoolRequest request, PoolResult result) {
        boolean turnedAway = result == PoolResult.SHED;
        Member member = members.remove(request.ticket());
        member.ofClass.end(turnedAway);
        member.ofWorkspace.end(turnedAway);
        total.end(turnedAway);
    }

    @Override
    public void refuse(PoolRequest request) {
        Member member = members.remove(request.ticket());
        member.ofClass.refuse();
        member.ofWorkspace.refuse();
        total.refuse();
    }

    @Override
    public void leave(PoolRequest request) {
        Member member = members.remove(request.ticket());
        member.ofClass.leave();
        member.ofWorkspace.leave();
        total.leave();
    }

    @Override
    public List<PoolRequest> inOrder(SortedSet<PoolRequest> queue) {
        Ordering ordering = new Ordering(List.copyOf(queue));
        ordering.markMembers();
        return ordering.ordered;
    }

    @Override
    public Collection<PoolRequest> aheadOf(PoolRequest request, SortedSet<PoolRequest> queue) {
        List<PoolRequest> requests = new ArrayList<>(queue.headSet(request));
        requests.add(request);
        queue.tailSet(request).stream().filter(later -> !later.equals(request)).forEach(requests::add);
        List<PoolRequest> ordered = new Ordering(requests).ordered;
        return ordered.subList(0, ordered.indexOf(request));
    }

    @Override
    public Collection<PoolRequest> backlogOf(PoolRequest request, SortedSet<PoolRequest> queue) {
        return aheadOf(request, queue);
    }

    @Override
    public ShareCounts counts() {
        return counts;
    }

    /** Returns the number of classes and workspaces that are kept. */
    int entryCount() {
        return classes.size() + workspaces.size();
    }

    private ServedShare createEntry(Object key) {
        return new ServedShare(new SplittableRandom(seed + key.hashCode()).nextDouble());
    }

    private void advanceInterval(long current) {
        for (long passed = Math.min(2, current - interval); passed > 0; passed--) {
            classes.values().forEach(ServedShare::beginInterval);
            workspaces.values().forEach(ServedShare::beginInterval);
            total.beginInterval();
        }
        if (current != interval) {
            classes.values().removeIf(ServedShare::isIdle);
            workspaces.values().removeIf(ServedShare::isIdle);
            interval = current;
        }
    }

    /** Returns the part of the requests of a class that is to be served. */
    private double grantOfClass(ServedShare ofClass) {
        double best = 0;
        for (ServedShare other : classes.values()) {
            if (other != ofClass && other.decided() >= MIN_COMPARED_DECISIONS) {
                best = Math.max(best, (double) other.served() / other.decided());
            }
        }
        return GRANTED_PART * best;
    }

    /** Returns the part of the requests of a workspace that is to be served. */
    private double grantOfWorkspace(ServedShare ofWorkspace) {
        int decided = total.decided() - ofWorkspace.decided();
        if (decided <= 0 || ofWorkspace.decided() < MIN_RAISED_DECISIONS) {
            return 0;
        }
        return GRANTED_PART * (total.served() - ofWorkspace.served()) / decided;
    }

    /** The entries of a request that has not ended. */
    private static final class Member {
        private final ServedShare ofClass;
        private final ServedShare ofWorkspace;
        private DispatchOrder order = DispatchOrder.USUAL;

        private Member(ServedShare ofClass, ServedShare ofWorkspace) {
            this.ofClass = ofClass;
            this.ofWorkspace = ofWorkspace;
        }
    }

    /** One computation of the order. */
    private final class Ordering {
        private final long pass = ++passNumber;
        private final double fairSlots = (double) total.served() / Math.max(1, workspaces.size());
        private final Set<PoolRequest> raised = new HashSet<>();
        private final List<PoolRequest> overtaken = new ArrayList<>();
        private final List<PoolRequest> ordered;

        /** Computes the order of requests that are given by priority and deadline. */
        private Ordering(List<PoolRequest> requests) {
            ordered = new ArrayList<>(requests.size());
            for (int i = requests.size() - 1; i >= 0; i--) {
                raiseIfOwed(requests.get(i));
            }
            requests.stream().filter(raised::contains).forEach(ordered::add);
            List<PlacedRequest> group = new ArrayList<>();
            for (PoolRequest request : requests) {
                if (raised.contains(request)) {
                    continue;
                }
                if (!group.isEmpty() && group.get(0).request().priority() != request.priority()) {
                    addGroup(group);
                    group.clear();
                }
                ServedShare ofWorkspace = members.get(request.ticket()).ofWorkspace;
                group.add(new PlacedRequest(request, group.size(), excessLevel(ofWorkspace)));
                ofWorkspace.countListed();
            }
            addGroup(group);
        }

        /** Raises the latest requests, since those that have waited for long may miss their deadlines. */
        private void raiseIfOwed(PoolRequest request) {
            Member member = members.get(request.ticket());
            member.ofClass.beginPass(pass);
            member.ofWorkspace.beginPass(pass);
            if (member.ofClass.isOwed(grantOfClass(member.ofClass))
                    || member.ofWorkspace.isOwed(grantOfWorkspace(member.ofWorkspace))) {
                member.ofClass.countRaised();
                member.ofWorkspace.countRaised();
                member.ofWorkspace.countListed();
                raised.add(request);
            }
        }

        /** Returns 0 within the fair share, and one more for each doubling of it. */
        private int excessLevel(ServedShare ofWorkspace) {
            int level = 0;
            for (double limit = fairSlots; limit > 0 && ofWorkspace.slotsTaken() > limit; limit *= 2) {
                level++;
            }
            return level;
        }

        private void addGroup(List<PlacedRequest> group) {
            group.sort(Comparator.comparingInt(PlacedRequest::excessLevel));
            int lastPlace = -1;
            for (PlacedRequest placed : group) {
                ordered.add(placed.request());
                if (placed.place() < lastPlace) {
                    overtaken.add(placed.request());
                }
                lastPlace = Math.max(lastPlace, placed.place());
            }
        }

        private void markMembers() {
            overtaken.forEach(request -> members.get(request.ticket()).order = DispatchOrder.DEFERRED);
            raised.forEach(request -> members.get(request.ticket()).order = DispatchOrder.RAISED);
        }
    }

    /** A request at a place among those of its priority. */
    private record PlacedRequest(PoolRequest request, int place, int excessLevel) {}
}
