package org.heatherreach.coordination.slot;

/**
 * The counts of the leases of a ledger with their sums, and the choice of the next slot to grant.
 *
 * <p>Invariants: each sum equals that over all leases of the ledger; a grant of a slot never raises the sum of the upper
 * bounds of a server above its usable slots. Confined to the thread of its ledger.
 */
final class LeaseAccounts {
    private int totalSlots;

    /**
     * Slots that daemons may still be using although they are neither granted nor reported as in use, such as recalled
     * slots whose return is not confirmed yet.
     */
    private int returningSlots;

    /** Granted slots that are not reported as in use. */
    private int idleSlots;

    /** Sum of the upper bounds over all servers. */
    private int maxInUseSum;

    /** Sets the number of usable slots of all servers. */
    void setTotalSlots(int totalSlots) {
        this.totalSlots = totalSlots;
    }

    int totalSlots() {
        return totalSlots;
    }

    /** Returns how many slots no daemon may be using; negative if daemons may be using more than there are. */
    int freeSlots() {
        return totalSlots - maxInUseSum;
    }

    /** Returns how many granted slots are not reported as in use. */
    int idleSlots() {
        return idleSlots;
    }

    /** Returns how many slots daemons may still be using although they are neither granted nor reported as in use. */
    int returningSlots() {
        return returningSlots;
    }

    /**
     * Grants one more slot to a daemon: one that it may already be using, else a free one, preferably in its
     * availability zone. Returns whether there was such a slot.
     */
    boolean grantOneSlot(LedgerDaemon daemon) {
        for (LedgerLease lease : daemon.leases.values()) {
            // If daemons may be using more slots than the server has, as after leases expired, requests must end
            // first.
            if (lease.granted < lease.maxInUse
                    && lease.server.freeSlots() >= 0
                    && lease.granted < lease.server.usableSlots
                    && daemon.mayUse(lease.server)
                    && lease.granted >= lease.inUse) {
                setGranted(daemon, lease, lease.granted + 1);
                return true;
            }
        }
        if (freeSlots() <= 0) {
            return false;
        }
        LedgerServer best = null;
        boolean bestInZone = false;
        for (LedgerServer server : daemon.candidateServers) {
            if (server.freeSlots() <= 0) {
                continue;
            }
            boolean inZone = server.listed.zone().equals(daemon.zone);
            if (best == null
                    || inZone && !bestInZone
                    || inZone == bestInZone && server.freeSlots() > best.freeSlots()) {
                best = server;
                bestInZone = inZone;
            }
        }
        if (best == null) {
            return false;
        }
        LedgerServer chosen = best;
        LedgerLease lease = daemon.leases.computeIfAbsent(best.id, key -> new LedgerLease(chosen));
        setGranted(daemon, lease, lease.granted + 1);
        return true;
    }

    /** Sets the granted slots of a lease, which the daemon has to be told. */
    void setGranted(LedgerDaemon daemon, LedgerLease lease, int granted) {
        updateLease(daemon, lease, granted, Math.max(lease.maxInUse, granted), lease.inUse);
        lease.changedSequence = daemon.sequence + 1;
        daemon.leasesChanged = true;
    }

    /**
     * Sets the counts of a lease.
     *
     * @param granted the slots that the daemon may use
     * @param maxInUse the upper bound on the slots that the daemon may be using
     * @param inUse the slots that the daemon has reported as in use
     */
    void updateLease(LedgerDaemon daemon, LedgerLease lease, int granted, int maxInUse, int inUse) {
        idleSlots += Math.max(0, granted - inUse) - Math.max(0, lease.granted - lease.inUse);
        int before = Math.max(lease.granted, lease.inUse);
        int after = Math.max(granted, inUse);
        returningSlots += maxInUse - after - (lease.maxInUse - before);
        daemon.heldSlots += after - before;
        lease.server.maxInUse += maxInUse - lease.maxInUse;
        maxInUseSum += maxInUse - lease.maxInUse;
        lease.granted = granted;
        lease.maxInUse = maxInUse;
        lease.inUse = inUse;
    }
}
