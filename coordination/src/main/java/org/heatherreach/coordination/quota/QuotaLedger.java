package org.heatherreach.coordination.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.workspace.WorkspaceQuota;

/**
 * The owner's side of the quotas of one partition: a token bucket for each active workspace.
 *
 * <p>Invariants: the credits granted and not returned in any time are at most {@code rate x time + capacity}; a bucket
 * begins with what its rate brought since the ownership began, because the previous owner may have granted everything
 * until then; the rate that a silent daemon may use as its fallback is withheld from the others.
 *
 * <p>Confined to one thread.
 */
public final class QuotaLedger {
    private static final long WARMING_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Bounds the cost of finding silent daemons, which grows with the daemons that ask for a workspace. */
    private static final long SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long HOLDER_LIFETIME_NANOS = QuotaTerms.FALLBACK_DELAY_NANOS + QuotaTerms.FALLBACK_NANOS;

    private final long ownedSinceNanos;
    private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();

    /** Creates the ledger of an ownership that began at a time. */
    public QuotaLedger(long ownedSinceNanos) {
        this.ownedSinceNanos = ownedSinceNanos;
    }

    /**
     * Handles a request of a daemon.
     *
     * @param daemonIncarnation the incarnation of the daemon that asks
     * @param quota the quota of the workspace, as the owner knows it
     */
    public QuotaGrant grant(long daemonIncarnation, QuotaRequest request, WorkspaceQuota quota, long nowNanos) {
        Bucket bucket = buckets.computeIfAbsent(request.workspace(), workspace -> new Bucket(ownedSinceNanos));
        bucket.refill(quota, nowNanos);
        bucket.sweepSilentHolders(nowNanos);
        int granted = bucket.exchange(daemonIncarnation, request, nowNanos);
        double rate = quota.requestsPerSecond();
        long nextMillis = granted == request.wanted() ? 0 : (long) Math.ceil(1000 * (1 - bucket.credits) / rate);
        long warmingNanos = (long) (1e9 * Math.min(3600, quota.burstRequests() / rate)) + WARMING_MARGIN_NANOS;
        boolean warming = nowNanos - ownedSinceNanos < warmingNanos;
        return new QuotaGrant(request.workspace(), granted, nextMillis, warming, false);
    }

    /** Removes the buckets that no daemon uses and that are full, so that they can be created again as they are. */
    public void removeIdle(long nowNanos) {
        buckets.values().removeIf(bucket -> bucket.isIdle(nowNanos));
    }

    /** Returns the number of buckets. */
    public int bucketCount() {
        return buckets.size();
    }

    private static final class Bucket {
        private final Map<Long, Holder> holders = new HashMap<>();
        private WorkspaceQuota quota = WorkspaceQuota.UNLIMITED;
        private double credits;
        private long refilledNanos;
        private long sweptNanos;

        private Bucket(long ownedSinceNanos) {
            refilledNanos = ownedSinceNanos;
            sweptNanos = ownedSinceNanos;
        }

        private void refill(WorkspaceQuota current, long nowNanos) {
            quota = current;
            double refilled = quota.requestsPerSecond() * QuotaTerms.seconds(Math.max(0, nowNanos - refilledNanos));
            credits = Math.min(QuotaTerms.capacity(quota), credits + refilled);
            refilledNanos = nowNanos;
        }

        private int exchange(long daemonIncarnation, QuotaRequest request, long nowNanos) {
            credits = Math.min(QuotaTerms.capacity(quota), credits + request.returned());
            if (request.wanted() == 0) {
                Holder left = holders.get(daemonIncarnation);
                if (left != null) {
                    left.granted.add(-request.returned(), nowNanos);
                    left.asking = false;
                }
                return 0;
            }
            int granted = (int) Math.max(0, Math.min(request.wanted(), Math.floor(credits)));
            credits -= granted;
            Holder holder = holders.computeIfAbsent(daemonIncarnation, incarnation -> new Holder());
            holder.granted.add(granted - request.returned(), nowNanos);
            holder.asking = true;
            holder.askedNanos = nowNanos;
            holder.chargedUntilNanos = nowNanos;
            return granted;
        }

        /** Withholds what daemons that stopped asking may have admitted by their fallback. */
        private void sweepSilentHolders(long nowNanos) {
            if (nowNanos - sweptNanos < SWEEP_INTERVAL_NANOS) {
                return;
            }
            sweptNanos = nowNanos;
            for (Iterator<Holder> each = holders.values().iterator(); each.hasNext(); ) {
                Holder holder = each.next();
                long silentNanos = nowNanos - holder.askedNanos;
                if (silentNanos > QuotaTerms.SILENCE_NANOS) {
                    credits -= holder.charge(quota, nowNanos);
                }
                if (silentNanos > HOLDER_LIFETIME_NANOS) {
                    each.remove();
                }
            }
        }

        private boolean isIdle(long nowNanos) {
            refill(quota, nowNanos);
            sweepSilentHolders(nowNanos);
            return holders.isEmpty() && credits >= QuotaTerms.capacity(quota);
        }
    }

    /** A daemon that holds credits of a workspace. */
    private static final class Holder {
        private final GrantedCredits granted = new GrantedCredits();
        private boolean asking;
        private long askedNanos;
        private long chargedUntilNanos;

        private double charge(WorkspaceQuota quota, long nowNanos) {
            if (!asking) {
                return 0;
            }
            long fromNanos = Math.max(chargedUntilNanos, askedNanos + QuotaTerms.FALLBACK_DELAY_NANOS);
            long untilNanos = Math.min(nowNanos, askedNanos + HOLDER_LIFETIME_NANOS);
            chargedUntilNanos = untilNanos;
            return granted.fallbackPerSecond(quota) * QuotaTerms.seconds(Math.max(0, untilNanos - fromNanos));
        }
    }
}
