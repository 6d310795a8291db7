package org.heatherreach.bench.fault;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.heatherreach.state.rank.Rank;

/**
 * A handful of daemons joined by in-memory links on a virtual clock, and the faults that can happen to them. A subclass
 * adds the decision logic of one promise and its checks. The same seed and plan give the same run. Confined to one
 * thread.
 */
abstract class FaultWorld {
    static final long MILLIS = 1_000_000;
    /** The store, as an end of a link. */
    static final int STORE = -1;
    /** Callers, operators and servers, which have no faults of their own. */
    static final int OUTSIDE = -2;

    private static final int ZONES = 3;
    private static final int[] FAULT_MILLIS = {300, 2_000, 4_000, 9_000};
    private static final int DUPLICATE_MILLIS = 1_000;
    private static final int TICK_MILLIS = 100;
    private static final int TRACE_LIMIT = 60;

    final boolean naive;
    final Random random;
    final List<String> violations = new ArrayList<>();
    final List<String> trace = new ArrayList<>();
    long nowNanos = 1_000_000 * MILLIS;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Set<Step> reached = EnumSet.noneOf(Step.class);
    private final List<Plan> plans = new ArrayList<>();
    private final Set<Integer> cutInbound = new HashSet<>();
    private final Set<Integer> cutOutbound = new HashSet<>();
    private final int size;
    private final boolean[] up;
    private final boolean[] paused;
    /** Raised by each start and end of a process, so that events of an earlier process are dropped. */
    private final int[] generations;

    private final long[] silentSinceNanos;
    /** The number of faults that strike a daemon now. */
    private final int[] disturbances;
    /** Since when a daemon has been free of faults. */
    private final long[] faultFreeSinceNanos;

    private final List<List<Runnable>> buffers = new ArrayList<>();
    private int delayMillis;
    private double loss;
    private double duplicates;
    private boolean linksDisturbed;
    private long order;
    private boolean armed;

    FaultWorld(boolean naive, long seed, int size) {
        this.naive = naive;
        this.random = new Random(seed);
        this.size = size;
        up = new boolean[size];
        paused = new boolean[size];
        generations = new int[size];
        silentSinceNanos = new long[size];
        disturbances = new int[size];
        faultFreeSinceNanos = new long[size];
        for (int i = 0; i < size; i++) {
            buffers.add(new ArrayList<>());
        }
    }

    /** Runs the whole scenario with its checks. */
    abstract void run();

    /** Returns the daemon with an index. */
    abstract FaultNode node(int index);

    /** Returns the daemons that a fault may strike, with those first that matter most for the promise. */
    abstract List<Integer> victims();

    /** Lets a fault begin when a step is reached for the first time. */
    void plan(Fault fault, Step step) {
        plans.add(new Plan(fault, step, random.nextInt(1 << 16), FAULT_MILLIS[random.nextInt(FAULT_MILLIS.length)]));
    }

    /** Returns whether every planned fault has begun. */
    boolean allBegun() {
        return plans.stream().allMatch(plan -> plan.begun);
    }

    /** Steps count from here on. */
    void arm() {
        armed = true;
    }

    /** No further fault begins. */
    void disarm() {
        armed = false;
    }

    void reach(Step step) {
        if (!armed) {
            return;
        }
        if (reached.add(step)) {
            note("first " + step);
        }
        for (Plan plan : plans) {
            if (plan.step == step && !plan.begun) {
                plan.begun = true;
                List<Integer> victims = victims();
                int victim = victims.get(plan.draw % victims.size());
                note(plan.fault + " of daemon " + victim + " begins for " + plan.millis + " ms");
                plan.fault.begin(this, victim);
                after(plan.millis, () -> {
                    note(plan.fault + " of daemon " + victim + " ends");
                    plan.fault.end(this, victim);
                });
            }
        }
    }

    void note(String text) {
        if (trace.size() < TRACE_LIMIT) {
            trace.add(nowNanos / MILLIS + " ms: " + text);
        }
    }

    void violate(String text) {
        note("VIOLATION " + text);
        violations.add(text);
    }

    void advance(long millis) {
        long end = nowNanos + millis * MILLIS;
        while (!events.isEmpty() && events.peek().atNanos <= end) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            if (event.step != null) {
                reach(event.step);
            }
            int to = event.to;
            if (to == OUTSIDE) {
                event.action.run();
            } else if (up[to] && (event.generation < 0 || event.generation == generations[to])) {
                if (paused[to]) {
                    buffers.get(to).add(event.action);
                } else {
                    event.action.run();
                }
            }
        }
        nowNanos = end;
    }

    /** Runs something outside the daemons. */
    void after(long millis, Runnable action) {
        at(OUTSIDE, -1, millis, null, action);
    }

    /** Runs something that the present process of a daemon has scheduled itself. */
    void later(int node, long millis, Step step, Runnable action) {
        at(node, generations[node], millis, step, action);
    }

    /** Delivers to whatever process runs at the daemon's address by then. */
    void arrive(int node, long millis, Step step, Runnable action) {
        at(node, -1, millis, step, action);
    }

    private void at(int node, int generation, long millis, Step step, Runnable action) {
        events.add(new Event(nowNanos + millis * MILLIS, order++, node, generation, step, action));
    }

    /**
     * Sends a message to the present process of another daemon.
     *
     * @param connected whether both directions have to be open, as for a connection
     * @return false if the connection could not be established
     */
    boolean send(int from, int to, boolean connected, Step step, Runnable action) {
        if (connected && (isCut(from, to) || isCut(to, from))) {
            return false;
        }
        if (isCut(from, to) || isLost()) {
            return true;
        }
        long millis = 1 + random.nextInt(2) + drawDelayMillis();
        later(to, millis, step, action);
        if (random.nextDouble() < duplicates) {
            later(to, millis + random.nextInt(DUPLICATE_MILLIS), step, action);
        }
        return true;
    }

    int drawDelayMillis() {
        return delayMillis == 0 ? 0 : random.nextInt(delayMillis);
    }

    boolean isLost() {
        return random.nextDouble() < loss;
    }

    boolean isCut(int from, int to) {
        return cutOutbound.contains(from) || cutInbound.contains(to);
    }

    boolean isUp(int node) {
        return up[node];
    }

    boolean isRunning(int node) {
        return up[node] && !paused[node];
    }

    long silentMillis(int node) {
        return isRunning(node) ? 0 : (nowNanos - silentSinceNanos[node]) / MILLIS;
    }

    /**
     * Returns whether a daemon runs and has had no fault for a time. With two faults no other daemon may have had one
     * either, because together they can take all readers from a daemon without faults.
     */
    boolean isFaultFree(int node, long millis) {
        if (plans.size() < 2) {
            return isRunning(node) && isUndisturbed(node, millis);
        }
        return isRunning(node) && IntStream.range(0, size).allMatch(other -> isUndisturbed(other, millis));
    }

    private boolean isUndisturbed(int node, long millis) {
        return disturbances[node] == 0 && nowNanos - faultFreeSinceNanos[node] >= millis * MILLIS;
    }

    List<Integer> zoneOf(int node) {
        return IntStream.range(0, size)
                .filter(other -> other % ZONES == node % ZONES)
                .boxed()
                .toList();
    }

    void start(int node) {
        kill(node);
        generations[node]++;
        buffers.get(node).clear();
        up[node] = true;
        faultFreeSinceNanos[node] = nowNanos;
        node(node).start();
        scheduleTick(node, 1 + random.nextInt(TICK_MILLIS));
    }

    private void scheduleTick(int node, long millis) {
        int generation = generations[node];
        after(millis, () -> {
            if (up[node] && generations[node] == generation) {
                if (!paused[node]) {
                    node(node).tick();
                }
                scheduleTick(node, TICK_MILLIS);
            }
        });
    }

    void kill(int node) {
        if (up[node]) {
            buffers.get(node).clear();
            resume(node);
            up[node] = false;
            generations[node]++;
            silentSinceNanos[node] = nowNanos;
        }
    }

    void pause(int node) {
        if (isRunning(node)) {
            paused[node] = true;
            silentSinceNanos[node] = nowNanos;
            disturbances[node]++;
        }
    }

    /** What waited in the buffers is handled before the first tick. */
    void resume(int node) {
        if (up[node] && paused[node]) {
            paused[node] = false;
            settle(node);
            List<Runnable> waiting = List.copyOf(buffers.get(node));
            buffers.get(node).clear();
            waiting.forEach(Runnable::run);
        }
    }

    void cut(int node, boolean inbound, boolean outbound) {
        if (!cutInbound.contains(node) && !cutOutbound.contains(node)) {
            disturbances[node]++;
        }
        if (inbound) {
            cutInbound.add(node);
        }
        if (outbound) {
            cutOutbound.add(node);
        }
    }

    void heal(int node, boolean inbound, boolean outbound) {
        boolean removed = inbound && cutInbound.remove(node);
        removed |= outbound && cutOutbound.remove(node);
        if (removed && !cutInbound.contains(node) && !cutOutbound.contains(node)) {
            settle(node);
        }
    }

    private void settle(int node) {
        disturbances[node]--;
        faultFreeSinceNanos[node] = nowNanos;
    }

    /** Adds to what the links do to messages; negative arguments take it away. */
    void disturbLinks(int moreDelayMillis, double moreLoss, double moreDuplicates) {
        delayMillis = Math.max(0, delayMillis + moreDelayMillis);
        loss = Math.max(0, loss + moreLoss);
        duplicates = Math.max(0, duplicates + moreDuplicates);
        // Reordered and repeated messages arrive in time, so they excuse nothing.
        boolean disturbed = delayMillis > TICK_MILLIS || loss > 0;
        if (disturbed != linksDisturbed) {
            linksDisturbed = disturbed;
            disturbAll(disturbed);
        }
    }

    /** Marks all daemons as struck by a fault, or as free of it from now on. */
    void disturbAll(boolean disturbed) {
        for (int i = 0; i < size; i++) {
            if (disturbed) {
                disturbances[i]++;
            } else {
                settle(i);
            }
        }
    }

    /** Repairs whatever a fault that overlapped another one has left, except processes that ended. */
    void repairAll() {
        for (int i = 0; i < size; i++) {
            heal(i, true, true);
            resume(i);
        }
        disturbLinks(-delayMillis, -loss, -duplicates);
    }

    void changeStore(StoreMode mode) {
        throw notApplicable();
    }

    void lapse(int victim) {
        throw notApplicable();
    }

    /** Pauses a daemon and resumes it after a time. */
    void pauseFor(int victim, long millis) {
        pause(victim);
        after(millis, () -> resume(victim));
    }

    void delayVmList(int victim) {
        throw notApplicable();
    }

    void updateVmList(int victim) {
        throw notApplicable();
    }

    void startSecondOperator() {
        throw notApplicable();
    }

    void crashServers(boolean crashing) {
        throw notApplicable();
    }

    void flood(Rank rank, boolean begins) {
        throw notApplicable();
    }

    private IllegalStateException notApplicable() {
        return new IllegalStateException("this fault is not applicable in "
                + getClass().getSimpleName() + " " + Arrays.toString(plans.toArray()));
    }

    private record Event(long atNanos, long order, int to, int generation, Step step, Runnable action) {}

    private static final class Plan {
        private final Fault fault;
        private final Step step;
        private final int draw;
        private final int millis;
        private boolean begun;

        Plan(Fault fault, Step step, int draw, int millis) {
            this.fault = fault;
            this.step = step;
            this.draw = draw;
            this.millis = millis;
        }

        @Override
        public String toString() {
            return fault + " at " + step;
        }
    }
}
