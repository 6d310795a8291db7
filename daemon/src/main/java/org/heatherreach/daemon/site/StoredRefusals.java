package org.heatherreach.daemon.site;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.Lease;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.peer.wire.Suspect;
import org.heatherreach.protocol.peer.wire.SuspectUpdate;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import org.heatherreach.transport.kv.RetryDelays;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * The refused requests in the store, where daemons that start later find them. Each has a key of its own under a lease,
 * so that none stays forever.
 *
 * <p>Invariants: a request is written only until its key has been read; a key that is lost in an outage of the store is
 * written again, also when the store came back from a copy without it; a request that was cancelled or removed is not
 * written, and not refused because such a copy lists it.
 *
 * <p>Thread safety: the methods are synchronized or read a snapshot, and never block.
 */
final class StoredRefusals extends FollowedKeys implements RefusedRequests {
    /** The prefix of the keys of refused requests. */
    static final String PREFIX = "heatherreach/refused/";

    private static final Logger LOG = Logger.getLogger(StoredRefusals.class);
    /** The longest lease that the store grants. */
    private static final long LEASE_TTL_SECONDS = 600;

    private static final long MIN_SECOND_HAND_DELAY_MILLIS = 1000;
    private static final long MAX_SECOND_HAND_DELAY_MILLIS = 3000;
    private static final RetryDelays RETRY_DELAYS = new RetryDelays(1, 500, 10_000);
    /** The keys of refused requests have no incarnations. */
    private static final long ANY_INCARNATION = 0;

    private static final long REREGISTRATION_MILLIS = 3000;
    /** Many more requests than complete between a copy of the store and its restoration. */
    private static final int DELETED_KEYS_LIMIT = 1000;

    private final KeyValueStore store;
    private final RandomGenerator random;
    private final Map<Fingerprint, ServiceId> servicesByRequest = new HashMap<>();
    /** The requests whose keys are still to be written, with the number of the order to write them. */
    private final Map<Fingerprint, Long> unwritten = new HashMap<>();
    /** The requests whose keys this daemon has written or is writing. */
    private final Set<Fingerprint> written = new HashSet<>();

    private final RemovedEntries removed = new RemovedEntries();
    /** The keys that this daemon has deleted, which it deletes again if a copy of the store still has them. */
    private final Set<String> deletedKeys = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > DELETED_KEYS_LIMIT;
        }
    });

    private long writeOrders;
    private volatile Set<Fingerprint> snapshot = Set.of();

    /**
     * Creates an empty record.
     *
     * @param store the store
     * @param random spreads the writes of the daemons
     * @param nanoClock the monotonic clock
     */
    StoredRefusals(KeyValueStore store, RandomGenerator random, LongSupplier nanoClock) {
        super("refused-requests", ReregistrationTerms.afterAnyOutage(REREGISTRATION_MILLIS), nanoClock);
        this.store = Objects.requireNonNull(store, "store");
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public boolean contains(Fingerprint request) {
        Set<Fingerprint> known = snapshot;
        return !known.isEmpty() && known.contains(request);
    }

    /** Returns how many requests are known to be recorded in the store. */
    synchronized int recordedCount() {
        return servicesByRequest.size() - unwritten.size();
    }

    @Override
    public synchronized void add(ServiceId service, Fingerprint request, boolean firstHand) {
        if (servicesByRequest.putIfAbsent(request, service) == null) {
            updateSnapshot();
            write(request, firstHand ? Duration.ZERO : secondHandDelay());
        }
    }

    @Override
    public synchronized void cancel(Fingerprint request) {
        boolean isOwn = written.remove(request);
        if (unwritten.remove(request) != null || isOwn) {
            servicesByRequest.remove(request);
            updateSnapshot();
        }
        if (isOwn) {
            deleteKey(request);
        }
    }

    @Override
    public synchronized void remove(Fingerprint request) {
        unwritten.remove(request);
        written.remove(request);
        if (servicesByRequest.remove(request) != null) {
            updateSnapshot();
            // The key may exist even if this daemon has not read it yet, because another daemon may have written it.
            deleteKey(request);
        }
    }

    @Override
    void applyAll(RangeResult all) {
        Set<String> missing = new HashSet<>();
        servicesByRequest.keySet().forEach(request -> missing.add(keyOf(request)));
        for (KeyValue value : all.values()) {
            boolean isKnown = missing.remove(value.key());
            if (!isKnown && removed.isRestored(value.key(), ANY_INCARNATION, value.revision())) {
                deleteAgain(value.key());
            } else {
                apply(value);
            }
        }
        missing.forEach(key -> applyDeletion(key, all.revision()));
    }

    private void deleteAgain(String key) {
        LOG.infof("refused-request=%s state=skipped reason=removed-before-the-copy-was-restored", key);
        if (deletedKeys.contains(key)) {
            repeatUntilDone(() -> deleteOnce(key), Duration.ZERO);
        }
    }

    /** Deletes a key unless it has been written again since. */
    private synchronized Mono<Boolean> deleteOnce(String key) {
        boolean isKnown = servicesByRequest.keySet().stream().anyMatch(request -> key.equals(keyOf(request)));
        return deletedKeys.contains(key) && !isKnown
                ? store.delete(KeyRange.of(key)).map(Either::isRight)
                : Mono.just(true);
    }

    @Override
    void apply(KeyValue entry) {
        try {
            SuspectUpdate update = SuspectUpdate.parseFrom(entry.value());
            ServiceId service = new ServiceId(update.getService());
            for (Suspect suspect : update.getSuspectsList()) {
                Fingerprint request = new Fingerprint(suspect.getFingerprint());
                if (entry.key().equals(keyOf(request))) {
                    applyRecorded(service, request);
                }
            }
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.warnf("refused-request=%s state=skipped reason=\"%s\"", entry.key(), e.getMessage());
        }
    }

    private void applyRecorded(ServiceId service, Fingerprint request) {
        removed.forget(keyOf(request), ANY_INCARNATION);
        unwritten.remove(request);
        if (servicesByRequest.put(request, service) == null) {
            updateSnapshot();
            LOG.warnf("fingerprint=%s service=%s state=refused reason=recorded-in-store", request, service);
        }
    }

    @Override
    void applyDeletion(String key, StoreRevision revision) {
        List<Fingerprint> deleted = servicesByRequest.keySet().stream()
                .filter(request -> key.equals(keyOf(request)) && !unwritten.containsKey(request))
                .toList();
        for (Fingerprint request : deleted) {
            if (mayReregister()) {
                write(request, secondHandDelay());
            } else {
                servicesByRequest.remove(request);
                written.remove(request);
                removed.record(key, ANY_INCARNATION, StoreRevision.NONE, revision, false);
                LOG.infof("fingerprint=%s state=no-longer-refused revision=%s", request, revision);
            }
        }
        updateSnapshot();
    }

    private void updateSnapshot() {
        snapshot = Set.copyOf(servicesByRequest.keySet());
    }

    private void write(Fingerprint request, Duration delay) {
        deletedKeys.remove(keyOf(request));
        if (!unwritten.containsKey(request)) {
            long order = ++writeOrders;
            unwritten.put(request, order);
            repeatUntilDone(() -> writeOnce(request, order), delay);
        }
    }

    /** Writes the key of a request unless it was read meanwhile; returns whether nothing is left to do. */
    private Mono<Boolean> writeOnce(Fingerprint request, long order) {
        if (!isUnwritten(request, order)) {
            return Mono.just(true);
        }
        return store.grantLease(LEASE_TTL_SECONDS)
                .flatMap(granted -> granted.isLeft() ? Mono.just(false) : put(request, order, granted.get()));
    }

    /** Returns whether a request is still to be written by this order, and not by a later one. */
    private synchronized boolean isUnwritten(Fingerprint request, long order) {
        return Objects.equals(unwritten.get(request), order);
    }

    private synchronized Mono<Boolean> put(Fingerprint request, long order, Lease lease) {
        if (!isUnwritten(request, order)) {
            return Mono.just(true);
        }
        byte[] value = SuspectUpdate.newBuilder()
                .setService(servicesByRequest.get(request).value())
                .addSuspects(
                        Suspect.newBuilder().setFingerprint(request.value()).setRefused(true))
                .build()
                .toByteArray();
        // The watch may bring the key before the response arrives, and the request may be cancelled in between.
        written.add(request);
        long eraBefore = era();
        return store.put(new Operation.Put(keyOf(request), value, lease.id()))
                .map(result -> isDone(result, request, order, eraBefore));
    }

    private synchronized boolean isDone(
            Either<KeyValueError, Long> result, Fingerprint request, long order, long eraBefore) {
        if (!written.contains(request)) {
            // The deletion that followed the cancellation may have been executed before the write.
            deleteKey(request);
            return true;
        }
        if (result.isLeft()) {
            LOG.warnf(
                    "fingerprint=%s state=unrecorded reason=\"%s\"",
                    request, result.getLeft().reason());
            return false;
        }
        if (!isUnwritten(request, order)) {
            return true;
        }
        if (era() != eraBefore) {
            // The write may be one of those that the store lost, and the full read of the new era did not have the key.
            return false;
        }
        unwritten.remove(request);
        return true;
    }

    private void deleteKey(Fingerprint request) {
        String key = keyOf(request);
        // The revision of the deletion is not known yet, so every entry that a copy has counts as older.
        StoreRevision deletion = new StoreRevision(era(), Long.MAX_VALUE);
        removed.record(key, ANY_INCARNATION, StoreRevision.NONE, deletion, false);
        deletedKeys.add(key);
        repeatUntilDone(() -> delete(key), Duration.ZERO);
    }

    private Mono<Boolean> delete(String key) {
        return store.delete(KeyRange.of(key)).map(Either::isRight);
    }

    private void repeatUntilDone(Supplier<Mono<Boolean>> step, Duration delay) {
        repeatUntilDone(step, delay, 1);
    }

    private void repeatUntilDone(Supplier<Mono<Boolean>> step, Duration delay, int attempt) {
        Mono.delay(delay)
                .then(Mono.defer(step))
                .onErrorResume(error -> {
                    LOG.errorf(error, "A refused request could not be recorded; it is tried again");
                    return Mono.just(false);
                })
                .subscribe(done -> {
                    if (!done) {
                        repeatUntilDone(step, retryDelay(attempt), attempt + 1);
                    }
                });
    }

    private synchronized Duration retryDelay(int attempt) {
        return RETRY_DELAYS.delayAfter(attempt, random);
    }

    private Duration secondHandDelay() {
        return Duration.ofMillis(random.nextLong(MIN_SECOND_HAND_DELAY_MILLIS, MAX_SECOND_HAND_DELAY_MILLIS));
    }

    private static String keyOf(Fingerprint request) {
        return PREFIX + request;
    }
}
