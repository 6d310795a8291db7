package org.heatherreach.daemon.site;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import io.vavr.control.Option;
import net.openhft.hashing.LongHashFunction;
import org.heatherreach.protocol.kv.Compare;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.Transaction;
import org.heatherreach.protocol.kv.TransactionResult;
import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.protocol.peer.wire.QuotaOwner;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import org.jboss.logging.Logger;

/**
 * Which daemon owns each partition of the workspaces. A daemon owns a partition by the key that it wrote under its
 * registration lease while the key did not exist.
 *
 * <p>Invariants: {@link #ownedSince} has a value only while the lease under which this daemon wrote the key is known to be
 * valid; it has none in a new era of the store until the key has been written again. After a change of the era, a daemon takes a
 * partition of another owner only when that owner can no longer grant. A missing key is written only if the partition is
 * needed.
 *
 * <p>Thread safety: the methods are synchronized and never block. The listener is called with the lock held.
 */
final class QuotaOwnership extends FollowedKeys {
    /** The prefix of the keys of owners; the number of the partition follows. */
    static final String PREFIX = "heatherreach/quota/";

    private static final Logger LOG = Logger.getLogger(QuotaOwnership.class);
    private static final LongHashFunction HASH = LongHashFunction.xx();
    /** The time after which the next daemon in the order tries, longer than a write and its notification by the watch take. */
    private static final long ELECTION_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** After an attempt without a result, such as in an outage of the store. */
    private static final long ATTEMPT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Is told about changes of owners. Must not block. */
    interface Listener {
        /** The owner of a partition changed; empty if none is known. */
        void ownerChanged(int partition, Option<DaemonEntry> owner);

        /**
         * Announces to all daemons that this one owns partitions. Daemons that the store rejects can't read its keys, and
         * the others read them only after their next poll.
         */
        void announce(List<QuotaOwner> owned);

        /** The store became available or unavailable, so that the known owners may or may not be current. */
        void storeChanged(boolean available);
    }

    private final KeyValueStore store;
    private final DaemonRegistry registry;
    private final int partitions;
    private final IntPredicate needed;
    private final LongSupplier nanoClock;
    private final Listener listener;
    private final QuotaAnnouncer announcer;
    private final Map<Integer, Owner> owners = new HashMap<>();
    /** When the next attempt to write the key of a partition is due. */
    private final Map<Integer, Long> attemptNanos = new HashMap<>();
    /** The lease of the last attempt to write a key, by which a key that the watch shows is recognised. */
    private final Map<Integer, Long> attemptLeases = new HashMap<>();
    /** The newest revision that is known of each partition's key, of its end too. */
    private final Map<Integer, StoreRevision> revisions = new HashMap<>();
    /** The revisions of keys whose value names no usable owner, so that they can be overwritten. */
    private final Map<Integer, Long> unusableRevisions = new HashMap<>();

    /**
     * Until when another daemon, which owned a partition in an earlier era, can still grant because it has not noticed the
     * later era. The rollback has ended its lease in the store, but not its own count of the lease time.
     */
    private final Map<Integer, Long> earlierOwnerUntilNanos = new HashMap<>();
    /** The partitions that this daemon owned when the era changed; it need not wait for its turn to own them again. */
    private final Set<Integer> ownedInEarlierEra = new HashSet<>();

    /** Rises with each era, so that the result of an attempt in an earlier one is ignored. */
    private long generation;

    private boolean loaded;
    private boolean released;
    private boolean storeAvailable = true;

    /**
     * Creates an instance that knows no owner.
     *
     * @param registry supplies the lease and the listed daemons
     * @param needed whether the routing table in use has a limited workspace in a partition
     */
    QuotaOwnership(
            KeyValueStore store,
            DaemonRegistry registry,
            int partitions,
            IntPredicate needed,
            LongSupplier nanoClock,
            Listener listener) {
        super("quota-owners", ReregistrationTerms.NONE, nanoClock);
        this.store = Objects.requireNonNull(store, "store");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.partitions = partitions;
        this.needed = Objects.requireNonNull(needed, "needed");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.announcer = new QuotaAnnouncer(listener::announce);
    }

    /** Returns since when this daemon owns a partition; empty if it doesn't or may not grant at present. */
    synchronized Option<Long> ownedSince(int partition) {
        Owner owner = owners.get(partition);
        return owner == null || !isGranting(owner) ? Option.none() : Option.some(owner.sinceNanos);
    }

    /** Returns how many partitions this daemon owns. */
    synchronized int ownedCount() {
        return (int) owners.values().stream().filter(this::isGranting).count();
    }

    /** Tries to become the owner of partitions without one; called about ten times a second. */
    void check() {
        boolean available = !mayReregister();
        synchronized (this) {
            if (available != storeAvailable) {
                storeAvailable = available;
                listener.storeChanged(available);
            }
            announcer.announceIfDue(nanoClock.getAsLong(), this::grantingPartitions);
            if (!loaded || released || !available) {
                return;
            }
            for (int partition = 0; partition < partitions; partition++) {
                Owner owner = owners.get(partition);
                if (needed.test(partition)) {
                    attemptIfUnowned(partition, owner);
                }
            }
        }
    }

    /**
     * Voids all ownerships, because the store may have lost keys. An own key in the full read of the new era doesn't
     * permit to grant; it is written again.
     */
    @Override
    void beginEra() {
        generation++;
        loaded = false;
        attemptLeases.clear();
        unusableRevisions.clear();
        for (Map.Entry<Integer, Owner> entry : List.copyOf(owners.entrySet())) {
            LOG.warnf(
                    "partition=%d owner=%s state=void revision=%s",
                    entry.getKey(), entry.getValue().entry.getName(), entry.getValue().revision);
            recordEarlierOwner(entry.getKey(), entry.getValue());
            forget(entry.getKey());
        }
    }

    private void recordEarlierOwner(int partition, Owner owner) {
        if (isOwn(owner.entry)) {
            ownedInEarlierEra.add(partition);
        } else {
            ownedInEarlierEra.remove(partition);
            earlierOwnerUntilNanos.put(partition, nanoClock.getAsLong() + RegistrationState.LEASE_VALIDITY_NANOS);
        }
    }

    /** Gives the partitions of this daemon up, so that other daemons own them before this one ends. */
    synchronized void release() {
        released = true;
        for (Map.Entry<Integer, Owner> entry : List.copyOf(owners.entrySet())) {
            if (isOwn(entry.getValue().entry)) {
                release(entry.getKey(), entry.getValue().revision);
            }
        }
    }

    private void release(int partition, StoreRevision revision) {
        String key = PREFIX + partition;
        forget(partition);
        LOG.infof("partition=%d state=released", partition);
        store.transact(new Transaction(
                        List.of(Compare.unchangedSince(key, revision.revision())),
                        List.of(new Operation.Delete(KeyRange.of(key))),
                        List.of()))
                .subscribe();
    }

    @Override
    void applyAll(RangeResult all) {
        Set<Integer> missing = new HashSet<>(owners.keySet());
        missing.addAll(unusableRevisions.keySet());
        for (KeyValue value : all.values()) {
            partitionOf(value.key()).forEach(missing::remove);
            apply(value);
        }
        missing.forEach(partition -> applyDeletion(PREFIX + partition, all.revision()));
        loaded = true;
    }

    @Override
    void apply(KeyValue value) {
        Option<Integer> partition = partitionOf(value.key());
        if (partition.isEmpty()) {
            return;
        }
        try {
            DaemonEntry entry = DaemonEntry.parseFrom(value.value());
            DaemonEntries.checkUsable(entry);
            long leaseId = isOwn(entry) ? attemptLeases.getOrDefault(partition.get(), 0L) : 0;
            put(partition.get(), entry, value.revision(), leaseId);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.warnf("owner=%s state=skipped reason=\"%s\"", value.key(), e.getMessage());
            recordUnusable(partition.get(), value.revision());
        }
    }

    private void recordUnusable(int partition, StoreRevision revision) {
        if (revision.isAfter(revisions.getOrDefault(partition, StoreRevision.NONE))) {
            revisions.put(partition, revision);
            forget(partition);
            unusableRevisions.put(partition, revision.revision());
        }
    }

    @Override
    void applyDeletion(String key, StoreRevision revision) {
        for (int partition : partitionOf(key)) {
            Owner known = owners.get(partition);
            if (known != null && !known.revision.isAfter(revision)) {
                LOG.infof("partition=%d owner=%s state=gone", partition, known.entry.getName());
                forget(partition);
            }
            unusableRevisions.remove(partition);
            if (revision.isAfter(revisions.getOrDefault(partition, StoreRevision.NONE))) {
                revisions.put(partition, revision);
            }
        }
    }

    private void put(int partition, DaemonEntry entry, StoreRevision revision, long leaseId) {
        Owner known = owners.get(partition);
        if (known != null && !revision.isAfter(known.revision)) {
            return;
        }
        owners.put(partition, new Owner(entry, revision, leaseId, nanoClock.getAsLong()));
        revisions.put(partition, revision);
        unusableRevisions.remove(partition);
        attemptNanos.remove(partition);
        LOG.infof("partition=%d owner=%s state=owned revision=%s", partition, entry.getName(), revision);
        listener.ownerChanged(partition, Option.some(entry));
        if (released && isOwn(entry)) {
            // A write that was under way at the release has taken effect.
            release(partition, revision);
        }
    }

    private void forget(int partition) {
        owners.remove(partition);
        attemptNanos.remove(partition);
        listener.ownerChanged(partition, Option.none());
    }

    private boolean isOwn(DaemonEntry entry) {
        return entry.getIncarnation() == registry.selfEntry().getIncarnation();
    }

    /** Returns whether this daemon wrote the key and the lease under which it did so is known to be valid. */
    private boolean isGranting(Owner owner) {
        return !released
                && isOwn(owner.entry)
                && registry.lease(nanoClock.getAsLong()).exists(lease -> lease.id() == owner.leaseId);
    }

    /** Takes over what another daemon announced, unless the store has shown something newer. */
    synchronized void recordAnnouncement(PoolUpdate update) {
        for (QuotaOwner announced : QuotaAnnouncer.usable(update, partitions)) {
            int partition = announced.getPartition();
            StoreRevision revision = new StoreRevision(announced.getEra(), announced.getRevision());
            boolean newer = revision.isAfter(revisions.getOrDefault(partition, StoreRevision.NONE));
            if (newer && !isOwn(announced.getOwner())) {
                put(partition, announced.getOwner(), revision, 0);
            }
        }
    }

    private List<QuotaOwner> grantingPartitions() {
        return owners.entrySet().stream()
                .filter(entry -> isGranting(entry.getValue()))
                .map(entry ->
                        QuotaAnnouncer.announcement(entry.getKey(), entry.getValue().entry, entry.getValue().revision))
                .toList();
    }

    private void attemptIfUnowned(int partition, Owner owner) {
        if (owner == null) {
            long turn = ownedInEarlierEra.contains(partition) ? 0 : rank(partition);
            attemptIfDue(partition, unusableRevisions.getOrDefault(partition, 0L), turn * ELECTION_STEP_NANOS);
        } else if (isOwn(owner.entry) ? !isGranting(owner) : isEarlierStart(owner.entry)) {
            attemptIfDue(partition, owner.revision.revision(), 0);
        }
    }

    /**
     * Returns whether a key is from an earlier start of this daemon, which has ended. After a restart of all daemons the
     * keys would otherwise keep every partition without an owner until their leases end.
     */
    private boolean isEarlierStart(DaemonEntry entry) {
        return entry.getName().equals(registry.selfEntry().getName()) && !isOwn(entry);
    }

    private void attemptIfDue(int partition, long revision, long delayNanos) {
        long nowNanos = nanoClock.getAsLong();
        Long dueNanos = attemptNanos.get(partition);
        if (dueNanos == null) {
            long earlierOwnerNanos = earlierOwnerUntilNanos.getOrDefault(partition, nowNanos) - nowNanos;
            dueNanos = nowNanos + Math.max(0, earlierOwnerNanos) + delayNanos;
            attemptNanos.put(partition, dueNanos);
        }
        Option<DaemonRegistry.ValidLease> lease = registry.lease(nowNanos);
        if (dueNanos - nowNanos > 0 || lease.isEmpty()) {
            return;
        }
        attemptNanos.put(partition, nowNanos + ATTEMPT_INTERVAL_NANOS);
        long leaseId = lease.get().id();
        long attemptGeneration = generation;
        attemptLeases.put(partition, leaseId);
        String key = PREFIX + partition;
        byte[] value = registry.selfEntry().toByteArray();
        store.transact(new Transaction(
                        List.of(Compare.unchangedSince(key, revision)),
                        List.of(new Operation.Put(key, value, leaseId)),
                        List.of()))
                .subscribe(result -> recordAttempt(partition, leaseId, attemptGeneration, result));
    }

    private synchronized void recordAttempt(
            int partition, long leaseId, long attemptGeneration, Either<KeyValueError, TransactionResult> result) {
        // After a conflict or without a response the watch shows who owns the partition.
        if (result.isRight() && attemptGeneration == generation && !released) {
            put(
                    partition,
                    registry.selfEntry(),
                    new StoreRevision(era(), result.get().revision()),
                    leaseId);
            announcer.begin(nanoClock.getAsLong());
            announcer.announceIfDue(nanoClock.getAsLong(), this::grantingPartitions);
        }
    }

    /** Returns how many listed daemons come before this one in the order for a partition. */
    private long rank(int partition) {
        long own = score(partition, registry.self());
        return registry.daemons().stream()
                .filter(daemon -> Long.compareUnsigned(score(partition, daemon), own) > 0)
                .count();
    }

    private static long score(int partition, DaemonId daemon) {
        return HASH.hashLong(HASH.hashInt(partition) ^ HASH.hashChars(daemon.value()));
    }

    private Option<Integer> partitionOf(String key) {
        try {
            int partition = Integer.parseInt(key.substring(PREFIX.length()));
            return Option.when(partition >= 0 && partition < partitions, partition);
        } catch (NumberFormatException e) {
            return Option.none();
        }
    }

    private record Owner(DaemonEntry entry, StoreRevision revision, long leaseId, long sinceNanos) {}
}
