package org.heatherreach.daemon.site;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.protocol.peer.wire.QuotaOwner;
import org.heatherreach.state.store.StoreRevision;

/**
 * Announces the partitions that this daemon owns a limited number of times, and checks the announcements of other
 * daemons.
 *
 * <p>Invariants: nothing is announced before {@link #begin}; an empty list of partitions is not announced, but uses up
 * one of the announcements.
 *
 * <p>Thread safety: not thread-safe; the lock of {@link QuotaOwnership} guards the fields. The recipient is called with
 * the lock held.
 */
final class QuotaAnnouncer {
    /** How often a new owner announces itself, because datagrams are lost now and then. */
    private static final int ANNOUNCEMENTS = 3;

    private static final long ANNOUNCEMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Consumer<List<QuotaOwner>> recipient;
    private int announcementsLeft;
    private long announcementNanos;

    /**
     * Creates an announcer that has nothing to announce.
     *
     * @param recipient sends an announcement to the other daemons
     */
    QuotaAnnouncer(Consumer<List<QuotaOwner>> recipient) {
        this.recipient = Objects.requireNonNull(recipient, "recipient");
    }

    /** Makes the first announcement of a new ownership due. */
    void begin(long nowNanos) {
        announcementsLeft = ANNOUNCEMENTS;
        announcementNanos = nowNanos;
    }

    /**
     * Announces if that is due.
     *
     * @param owned supplies the partitions for which this daemon may grant; not called before an announcement is due
     */
    void announceIfDue(long nowNanos, Supplier<List<QuotaOwner>> owned) {
        if (announcementsLeft == 0 || announcementNanos - nowNanos > 0) {
            return;
        }
        announcementsLeft--;
        announcementNanos = nowNanos + ANNOUNCEMENT_INTERVAL_NANOS;
        List<QuotaOwner> announced = owned.get();
        if (!announced.isEmpty()) {
            recipient.accept(announced);
        }
    }

    /** Returns the announcement of a partition whose key has a revision. */
    static QuotaOwner announcement(int partition, DaemonEntry entry, StoreRevision revision) {
        return QuotaOwner.newBuilder()
                .setPartition(partition)
                .setOwner(entry)
                .setEra(revision.era())
                .setRevision(revision.revision())
                .build();
    }

    /** Returns the announcements of an update that name its sender as the owner of an existing partition. */
    static List<QuotaOwner> usable(PoolUpdate update, int partitions) {
        return update.getQuotaOwnersList().stream()
                .filter(announced -> announced.getPartition() >= 0 && announced.getPartition() < partitions)
                .filter(announced -> announced.getOwner().getIncarnation() == update.getSender())
                .filter(announced -> isUsable(announced.getOwner()))
                .toList();
    }

    private static boolean isUsable(DaemonEntry entry) {
        try {
            DaemonEntries.checkUsable(entry);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
