package org.heatherreach.coordination.quota;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.workspace.WorkspaceQuota;

/**
 * The credits of one workspace at a daemon, the requests that wait for them, and the expected demand.
 *
 * <p>Invariant: a credit admits one request before it expires, or is returned to the owner once.
 *
 * <p>Confined to one thread.
 */
final class WorkspaceCredits {
    /** The time for which credits are held in advance. */
    private static final double AHEAD_SECONDS = 0.3;
    /** The window of the demand estimate. */
    private static final double DEMAND_WINDOW_SECONDS = 1;
    /** Credits requested in advance for a lower demand would mostly expire unused. */
    private static final double MIN_AHEAD_CREDITS = 1;

    /** Bounds the requests to an owner that has no credits left. */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long MAX_REPEATED_BACKOFF_NANOS = 4 * MIN_BACKOFF_NANOS;
    private static final long MAX_BACKOFF_NANOS = QuotaTerms.CREDIT_LIFETIME_NANOS;
    /** How long a request may wait for an owner that has just taken over. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /**
     * How long a request may wait for the first reply of an owner after the start of this daemon, but for half of its time
     * at most. The owner starts at the same moment if all VMs lost power.
     */
    private static final long MAX_FIRST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long HISTORY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long UNKNOWN_RETRY_MILLIS = 1000;

    private final WorkspaceId workspace;
    private final int nameBytes;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final GrantedCredits granted = new GrantedCredits();
    private WorkspaceQuota quota;
    private double demandPerSecond;
    private long arrivedNanos;
    /** Expired credits that the next request returns to the owner. */
    private int unreturned;

    /** The credits wanted by the last request. */
    private int requested;

    private long repliedNanos;
    private boolean replied;
    private long backoffNanos = MIN_BACKOFF_NANOS / 2;
    private long backoffDeadlineNanos;

    /** When the owner expects its next credit. */
    private long nextCreditNanos;
    /** Whether the last reply had fewer credits than wanted; no more are requested until {@code backoffDeadlineNanos}. */
    private boolean backingOff;

    /** Whether the last reply also left requests without a credit, so that later ones are refused at once. */
    private boolean exhausted;

    private boolean warming;
    /** What the fallback rate has gained and no request has used. */
    private double fallbackCredits;

    private long fallbackNanos;
    private long fallbackBeginNanos;
    /** The requests admitted by the fallback that later grants have not paid for. */
    private int fallbackDebt;

    WorkspaceCredits(WorkspaceId workspace, WorkspaceQuota quota, long nowNanos) {
        this.workspace = workspace;
        this.nameBytes = workspace.value().getBytes(StandardCharsets.UTF_8).length;
        this.quota = quota;
        this.arrivedNanos = nowNanos;
    }

    WorkspaceId workspace() {
        return workspace;
    }

    int nameBytes() {
        return nameBytes;
    }

    void recordArrival(WorkspaceQuota current, long nowNanos) {
        quota = current;
        double agedDemand =
                demandPerSecond * Math.exp(-QuotaTerms.seconds(nowNanos - arrivedNanos) / DEMAND_WINDOW_SECONDS);
        demandPerSecond = agedDemand + 1 / DEMAND_WINDOW_SECONDS;
        arrivedNanos = nowNanos;
    }

    /** Uses a credit if there is one. */
    boolean take(long nowNanos) {
        expire(nowNanos);
        Batch oldest = batches.peek();
        if (oldest == null) {
            return false;
        }
        oldest.credits--;
        if (oldest.credits == 0) {
            batches.remove();
        }
        return true;
    }

    void refund(long nowNanos) {
        batches.add(new Batch(1, nowNanos + QuotaTerms.CREDIT_LIFETIME_NANOS));
    }

    void expire(long nowNanos) {
        while (!batches.isEmpty() && batches.peek().expiryNanos - nowNanos <= 0) {
            unreturned += batches.remove().credits;
        }
    }

    void enqueue(long ticket, long deadlineNanos, long nowNanos) {
        waiting.add(new Waiting(ticket, deadlineNanos, nowNanos));
    }

    void cancel(long ticket) {
        waiting.removeIf(request -> request.ticket == ticket);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns whether the owner is known to have no credit yet, so that a request is refused at once. */
    boolean isExhausted(long nowNanos) {
        return backingOff && exhausted && !warming && backoffDeadlineNanos - nowNanos > 0;
    }

    /**
     * Returns the number of credits to request now; 0 if there are enough or the owner has none yet.
     *
     * @param probing whether the owner failed to reply, so that requests don't wait and one credit is always of use
     */
    int wanted(boolean probing, long nowNanos) {
        expire(nowNanos);
        if (backingOff && backoffDeadlineNanos - nowNanos > 0) {
            return 0;
        }
        double expected = demandPerSecond * AHEAD_SECONDS;
        int held = batches.stream().mapToInt(batch -> batch.credits).sum();
        if (nowNanos - arrivedNanos > QuotaTerms.CREDIT_LIFETIME_NANOS || expected < MIN_AHEAD_CREDITS) {
            expected = 0;
        }
        if (waiting.isEmpty() && held >= expected / 2) {
            return probing && held == 0 ? 1 : 0;
        }
        return waiting.size() + (int) Math.ceil(Math.max(0, expected - held));
    }

    /** Returns the request for an owner; the credits that it returns are no longer held here. */
    QuotaRequest request(int wanted, long nowNanos) {
        requested = wanted;
        int returned = unreturned;
        unreturned = 0;
        granted.add(-returned, nowNanos);
        if (wanted == 0) {
            // The owner no longer withholds the fallback of this daemon.
            replied = false;
        }
        return new QuotaRequest(workspace, wanted, returned);
    }

    /** Returns the last request once more, without the credits that it returned. */
    QuotaRequest repeatedRequest() {
        return new QuotaRequest(workspace, requested, 0);
    }

    void applyGrant(QuotaGrant grant, long expiryNanos, long nowNanos) {
        repliedNanos = nowNanos;
        replied = true;
        warming = grant.warming();
        granted.add(grant.granted(), nowNanos);
        int usable = grant.granted() - settleFallback(grant.granted(), nowNanos);
        if (usable > 0 && expiryNanos - nowNanos > 0) {
            batches.add(new Batch(usable, expiryNanos));
        }
        backingOff = grant.granted() < requested;
        long nextNanos = TimeUnit.MILLISECONDS.toNanos(grant.nextMillis());
        // A workspace far over its limit would otherwise cost its owner 20 requests/s from each daemon.
        backoffNanos = backingOff ? Math.min(2 * backoffNanos, MAX_REPEATED_BACKOFF_NANOS) : MIN_BACKOFF_NANOS / 2;
        backoffDeadlineNanos = nowNanos + Math.max(backoffNanos, Math.min(nextNanos, MAX_BACKOFF_NANOS));
        nextCreditNanos = nowNanos + nextNanos;
    }

    /**
     * Returns the number of granted credits that pay for requests admitted by the fallback. The owner charges only a
     * daemon that was silent for longer, so that many short losses would otherwise exceed the limit.
     */
    private int settleFallback(int credits, long nowNanos) {
        if (nowNanos - fallbackBeginNanos > QuotaTerms.SILENCE_NANOS) {
            fallbackDebt = 0;
        }
        int settled = Math.min(fallbackDebt, credits);
        fallbackDebt -= settled;
        return settled;
    }

    /** Admits waiting requests in the order of their arrival, and refuses the rest if the owner has no more credits. */
    void settle(long nowNanos, List<QuotaAction> actions) {
        while (!waiting.isEmpty() && take(nowNanos)) {
            actions.add(new QuotaAction.Admit(waiting.remove().ticket));
        }
        exhausted = backingOff && !waiting.isEmpty();
        if (exhausted) {
            refuseWaiting(warming ? MAX_WAIT_NANOS : 0, false, nowNanos, actions);
        }
    }

    /** Refuses the requests that have waited too long for an owner, or whose deadline has passed. */
    void refuseOverdue(boolean ownerFailing, boolean ownerReplied, long nowNanos, List<QuotaAction> actions) {
        refuseWaiting(ownerReplied ? MAX_WAIT_NANOS : MAX_FIRST_WAIT_NANOS, ownerFailing, nowNanos, actions);
    }

    private void refuseWaiting(long minAgeNanos, boolean ownerFailing, long nowNanos, List<QuotaAction> actions) {
        List<Waiting> kept = new ArrayList<>();
        int position = 0;
        for (Waiting request : waiting) {
            long waitedNanos = nowNanos - request.arrivalNanos;
            long leftNanos = request.deadlineNanos - nowNanos;
            boolean halfOver = waitedNanos >= leftNanos && waitedNanos >= MAX_WAIT_NANOS;
            if (waitedNanos >= minAgeNanos || halfOver || leftNanos <= 0) {
                actions.add(
                        ownerFailing
                                ? new QuotaAction.Refuse(request.ticket, UNKNOWN_RETRY_MILLIS, QuotaRefusal.NO_OWNER)
                                : new QuotaAction.Refuse(
                                        request.ticket, retryMillis(position, nowNanos), QuotaRefusal.EXHAUSTED));
                position++;
            } else {
                kept.add(request);
            }
        }
        waiting.clear();
        waiting.addAll(kept);
    }

    QuotaAction.Refuse refuse(long ticket, long nowNanos) {
        return new QuotaAction.Refuse(ticket, retryMillis(0, nowNanos), QuotaRefusal.EXHAUSTED);
    }

    private long retryMillis(int position, long nowNanos) {
        double waitMillis = Math.max(0, nextCreditNanos - nowNanos) / 1e6 + 1000 * position / quota.requestsPerSecond();
        return Math.max(1, (long) Math.ceil(waitMillis));
    }

    void beginFallback(long nowNanos) {
        fallbackCredits = 0;
        fallbackNanos = nowNanos;
        fallbackBeginNanos = nowNanos;
    }

    void settleWithoutOwner(double fairShare, long nowNanos, List<QuotaAction> actions) {
        while (!waiting.isEmpty()) {
            actions.add(admitWithoutOwner(waiting.remove().ticket, fairShare, nowNanos));
        }
    }

    /**
     * Admits a request at the fallback rate, or refuses it.
     *
     * @param fairShare the share of the rate that the daemon may use after its fallback has ended; 0 if none
     */
    QuotaAction admitWithoutOwner(long ticket, double fairShare, long nowNanos) {
        if (take(nowNanos) || takeFallback(fairShare, nowNanos)) {
            return new QuotaAction.Admit(ticket);
        }
        double perSecond = fallbackPerSecond(fairShare, nowNanos);
        long retryMillis =
                perSecond > 0 ? (long) Math.ceil(1000 * (1 - fallbackCredits) / perSecond) : UNKNOWN_RETRY_MILLIS;
        return new QuotaAction.Refuse(ticket, retryMillis, QuotaRefusal.NO_OWNER);
    }

    /** Uses the fallback for one request if its rate permits it. */
    boolean takeFallback(double fairShare, long nowNanos) {
        double perSecond = fallbackPerSecond(fairShare, nowNanos);
        double gained = perSecond * QuotaTerms.seconds(Math.max(0, nowNanos - fallbackNanos));
        fallbackCredits = Math.min(
                Math.max(1, perSecond * QuotaTerms.seconds(QuotaTerms.CREDIT_LIFETIME_NANOS)),
                fallbackCredits + gained);
        fallbackNanos = nowNanos;
        if (fallbackCredits < 1) {
            return false;
        }
        fallbackCredits--;
        fallbackDebt++;
        return true;
    }

    private double fallbackPerSecond(double fairShare, long nowNanos) {
        boolean claims = replied && nowNanos - repliedNanos < QuotaTerms.FALLBACK_NANOS;
        return claims ? granted.fallbackPerSecond(quota) : fairShare * quota.requestsPerSecond();
    }

    /** Returns the state without changing it. */
    QuotaStatus status(boolean failing, boolean ownerReplied, boolean lost, long nowNanos) {
        int held = batches.stream()
                .filter(batch -> batch.expiryNanos - nowNanos > 0)
                .mapToInt(batch -> batch.credits)
                .sum();
        QuotaStatus.Next next = QuotaStatus.Next.ASK_OWNER;
        if (held > 0 && (waiting.isEmpty() || lost)) {
            next = QuotaStatus.Next.ADMIT;
        } else if (failing) {
            next = QuotaStatus.Next.FALLBACK;
        } else if (isExhausted(nowNanos)) {
            next = QuotaStatus.Next.REFUSE;
        }
        long retryMillis = next == QuotaStatus.Next.REFUSE ? retryMillis(0, nowNanos) : 0;
        return new QuotaStatus(held, waiting.size(), ownerReplied && !failing, next, retryMillis);
    }

    /** Returns whether the workspace has had no request for so long that its history no longer matters. */
    boolean isForgotten(long nowNanos) {
        return isIdle(nowNanos) && nowNanos - arrivedNanos >= HISTORY_NANOS;
    }

    /** Returns whether nothing waits and no request has arrived in the lifetime of a credit. */
    boolean isIdle(long nowNanos) {
        return waiting.isEmpty() && batches.isEmpty() && nowNanos - arrivedNanos >= QuotaTerms.CREDIT_LIFETIME_NANOS;
    }

    /** Returns whether the owner has to know that this daemon stopped asking. */
    boolean mustSignOff() {
        return unreturned > 0 || replied && granted.fallbackPerSecond(quota) > 0;
    }

    private static final class Batch {
        private final long expiryNanos;
        private int credits;

        private Batch(int credits, long expiryNanos) {
            this.credits = credits;
            this.expiryNanos = expiryNanos;
        }
    }

    private record Waiting(long ticket, long deadlineNanos, long arrivalNanos) {}
}
