package org.heatherreach.daemon.site;

import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.heatherreach.protocol.kv.Lease;

/**
 * State machine of this daemon's own registration: the responses of the store and the changes of the own entry go in, the
 * next call to the store comes out.
 *
 * <p>Invariants: the lease counts as valid only within its time after the last renewal that succeeded was sent, and no
 * longer once the era of the store has changed; the entry is written again when it is missing, also under the lease of
 * an earlier era if a renewal shows that the store still has it.
 *
 * <p>Thread safety: none; guarded by the caller.
 */
final class RegistrationState {
    /** The lease time less a margin for the clocks and for a response that is being processed. */
    static final long LEASE_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(3500);

    /** A call to the store. */
    enum Step {
        /** Requests a lease. */
        GRANT_LEASE,
        /** Renews the lease. */
        RENEW_LEASE,
        /** Writes the entry under the lease. */
        WRITE_ENTRY,
        /** Makes no call. */
        NONE
    }

    private long leaseId;
    /** Until when the store keeps the lease, less a margin; counted from when the last renewal that succeeded was sent. */
    private long leaseValidUntilNanos;

    private boolean registered;
    /** Whether the lease may be void because the era of the store has changed; a renewal shows whether it is. */
    private boolean leaseInDoubt;

    private boolean leaving;

    /** Creates the state of a daemon that has no lease and is not registered. */
    RegistrationState(long nowNanos) {
        leaseValidUntilNanos = nowNanos;
    }

    /** Returns the call with which a renewal begins. */
    Step nextStep() {
        if (leaseId == 0) {
            return Step.GRANT_LEASE;
        }
        return registered || leaseInDoubt ? Step.RENEW_LEASE : Step.WRITE_ENTRY;
    }

    /** Returns the id of the lease; 0 without one. */
    long leaseId() {
        return leaseId;
    }

    /** Returns the lease; empty while it is not known to be valid. */
    Option<DaemonRegistry.ValidLease> lease(long nowNanos) {
        return Option.when(
                leaseId != 0 && leaseValidUntilNanos - nowNanos > 0,
                () -> new DaemonRegistry.ValidLease(leaseId, leaseValidUntilNanos));
    }

    /** Returns whether the entry is to be marked as leaving. */
    boolean isLeaving() {
        return leaving;
    }

    /** Marks this daemon as leaving; its entry has to be written again. */
    void leave() {
        leaving = true;
        registered = false;
    }

    /** Sets whether the store has the entry. */
    void setRegistered(boolean registered) {
        this.registered = registered;
    }

    /** Regards the lease as not valid until a renewal shows that it is, because the era of the store has changed. */
    void doubtLease(long nowNanos) {
        leaseInDoubt = true;
        leaseValidUntilNanos = nowNanos;
    }

    /**
     * Records a lease that was granted.
     *
     * @param sentNanos when it was requested
     */
    void recordGrant(Lease granted, long sentNanos) {
        leaseId = granted.id();
        leaseValidUntilNanos = sentNanos + LEASE_VALIDITY_NANOS;
    }

    /** Records that the store refused to write the entry: the lease has expired, and the next renewal requests one. */
    void recordRejection() {
        leaseId = 0;
    }

    /**
     * Records the response to a renewal, which has no time to live if the lease has expired.
     *
     * @param sentNanos when the renewal was sent
     * @return the call that follows
     */
    Step recordRenewal(Lease renewed, long sentNanos) {
        boolean wasInDoubt = leaseInDoubt;
        leaseInDoubt = false;
        if (renewed.ttlSeconds() == 0) {
            leaseId = 0;
            registered = false;
            return Step.GRANT_LEASE;
        }
        if (renewed.id() == leaseId) {
            leaseValidUntilNanos = sentNanos + LEASE_VALIDITY_NANOS;
        }
        if (!wasInDoubt || registered) {
            return Step.NONE;
        }
        return leaseId == 0 ? Step.GRANT_LEASE : Step.WRITE_ENTRY;
    }
}
