package org.heatherreach.daemon.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.crash.CrashLog;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.Suspect;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.CrashFilter;
import org.heatherreach.transport.http.ExchangeObserver;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.FailureKind;
import org.jboss.logging.Logger;

/**
 * Identifies requests that crash servers and refuses them. Each daemon has its own {@link CrashLog} for each service;
 * since every crash is reported to all daemons, all of them refuse the same requests. The identified requests are also
 * recorded for the daemons that start later.
 *
 * <p>Invariants: a lost response counts as a crash only if the server accepts no connection afterwards; a suspected
 * request that completes is cleared.
 *
 * <p>Thread safety: safe for use by any thread; {@link #refuses} reads a snapshot, everything else is synchronized and
 * does not block.
 */
final class CrashMonitor implements CrashFilter, ExchangeObserver {
    private static final Logger LOG = Logger.getLogger(CrashMonitor.class);
    /** Bounds the size of a crash report; a server rarely runs more requests of one daemon at a time. */
    private static final int MAX_FINGERPRINTS_PER_REPORT = 64;

    private final ServerProbe probe;
    private final CrashPeers peers;
    private final RefusedRequests recorded;
    private final RandomGenerator random;
    private final LongSupplier nanoClock;
    private final Map<ServiceId, CrashLog> logsByService = new HashMap<>();
    private final Map<ServerId, Set<Fingerprint>> unconfirmedByServer = new HashMap<>();
    private volatile Set<Fingerprint> suspects = Set.of();
    private volatile Set<Fingerprint> refused = Set.of();

    /**
     * Creates a monitor.
     *
     * @param probe checks whether a server still accepts connections
     * @param peers receives the crash reports of this daemon
     * @param recorded the identified requests that all daemons refuse
     * @param random generates the ids of crashes
     * @param nanoClock the monotonic clock
     */
    CrashMonitor(
            ServerProbe probe,
            CrashPeers peers,
            RefusedRequests recorded,
            RandomGenerator random,
            LongSupplier nanoClock) {
        this.probe = Objects.requireNonNull(probe, "probe");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.recorded = Objects.requireNonNull(recorded, "recorded");
        this.random = Objects.requireNonNull(random, "random");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
    }

    @Override
    public boolean refuses(ServiceId service, long fingerprint) {
        Fingerprint request = new Fingerprint(fingerprint);
        if (recorded.contains(request)) {
            return true;
        }
        Set<Fingerprint> snapshot = refused;
        if (snapshot.isEmpty() || !snapshot.contains(request)) {
            return false;
        }
        synchronized (this) {
            return log(service).refuses(request, nanoClock.getAsLong());
        }
    }

    @Override
    public void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos) {}

    @Override
    public void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos) {
        Fingerprint request = new Fingerprint(fingerprint);
        if (result.failure() == FailureKind.TRUNCATED || result.failure() == FailureKind.INVALID) {
            handleLostResponse(service, server, request);
        } else if (result.failure().isAnswered()
                && result.failure() != FailureKind.SHED
                && (suspects.contains(request) || recorded.contains(request))) {
            SuspectUpdate update = new SuspectUpdate(service, List.of(Suspect.cleared(request)));
            recordCleared(update, true);
            // A daemon that started after the identification knows the request from the record only.
            recorded.remove(request);
            peers.reportCleared(update);
        }
    }

    /** Records a crash that a peer reports. */
    void recordCrash(CrashReport report) {
        recordCrash(report, false);
    }

    private synchronized void recordCrash(CrashReport report, boolean firstHand) {
        log(report.service()).addReport(report, nanoClock.getAsLong());
        LOG.infof(
                "server=%s service=%s state=crashed requests=%s",
                report.server(), report.service(), report.fingerprints());
        updateSnapshots(firstHand);
    }

    /** Records that suspected requests completed at a peer. */
    void recordCleared(SuspectUpdate update) {
        recordCleared(update, false);
    }

    private synchronized void recordCleared(SuspectUpdate update, boolean firstHand) {
        log(update.service()).applyClearings(update, nanoClock.getAsLong());
        updateSnapshots(firstHand);
    }

    private synchronized void handleLostResponse(ServiceId service, ServerId server, Fingerprint request) {
        Set<Fingerprint> pending = unconfirmedByServer.get(server);
        if (pending == null) {
            pending = new TreeSet<>();
            unconfirmedByServer.put(server, pending);
            probe.start(server, connected -> handleProbeResult(service, server, connected));
        }
        if (pending.size() < MAX_FINGERPRINTS_PER_REPORT) {
            pending.add(request);
        }
    }

    private void handleProbeResult(ServiceId service, ServerId server, boolean connected) {
        Set<Fingerprint> requests;
        synchronized (this) {
            requests = unconfirmedByServer.remove(server);
        }
        if (requests == null || connected) {
            return;
        }
        CrashReport report = new CrashReport(service, server, new ArrayList<>(requests));
        recordCrash(report, true);
        peers.reportCrash(report);
    }

    /** Determines the suspected and refused requests, and records those whose refusal began or ended. */
    private void updateSnapshots(boolean firstHand) {
        Set<Fingerprint> nowSuspected = new HashSet<>();
        Map<Fingerprint, ServiceId> nowRefused = new HashMap<>();
        logsByService.forEach((service, log) -> log.snapshot(nanoClock.getAsLong()).suspects().stream()
                .filter(suspect -> !suspect.isCleared())
                .forEach(suspect -> {
                    nowSuspected.add(suspect.fingerprint());
                    if (suspect.refused()) {
                        nowRefused.put(suspect.fingerprint(), service);
                    }
                }));
        Set<Fingerprint> earlier = refused;
        suspects = nowSuspected;
        refused = Set.copyOf(nowRefused.keySet());
        nowRefused.forEach((request, service) -> {
            if (!earlier.contains(request)) {
                LOG.warnf("fingerprint=%s state=refused reason=crashes-servers", request);
                recorded.add(service, request, firstHand);
            }
        });
        earlier.stream().filter(request -> !nowRefused.containsKey(request)).forEach(request -> {
            if (firstHand) {
                recorded.remove(request);
            } else {
                recorded.cancel(request);
            }
        });
    }

    private CrashLog log(ServiceId service) {
        return logsByService.computeIfAbsent(service, key -> new CrashLog(key, random));
    }
}
