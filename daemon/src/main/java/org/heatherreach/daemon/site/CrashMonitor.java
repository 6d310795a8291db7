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
 * Recognises requests that crash servers. Each daemon keeps its own {@link CrashLog} of every service; since all of them
 * hear of every crash, they refuse the same requests.
 *
 * <p>Invariants: a crash counts only if the server takes no connection after it; a request that completes is suspected no
 * longer.
 *
 * <p>Thread safety: safe for use by any thread; {@link #refuses} reads a snapshot, everything else is synchronized and
 * does not block.
 */
final class CrashMonitor implements CrashFilter, ExchangeObserver {
    private static final Logger LOG = Logger.getLogger(CrashMonitor.class);
    /** Bounds the size of a report; a server rarely runs more requests of one daemon. */
    private static final int FINGERPRINTS_PER_REPORT = 64;

    private final ServerProbe probe;
    private final CrashPeers peers;
    private final RandomGenerator random;
    private final LongSupplier nanoClock;
    private final Map<ServiceId, CrashLog> logs = new HashMap<>();
    private final Map<ServerId, Set<Fingerprint>> unconfirmed = new HashMap<>();
    private volatile Set<Fingerprint> suspects = Set.of();
    private volatile Set<Fingerprint> refused = Set.of();

    /**
     * Creates a monitor.
     *
     * @param probe asks a server that may have crashed
     * @param peers takes reports of crashes
     * @param random draws the numbers of crashes
     * @param nanoClock the monotonic clock
     */
    CrashMonitor(ServerProbe probe, CrashPeers peers, RandomGenerator random, LongSupplier nanoClock) {
        this.probe = Objects.requireNonNull(probe, "probe");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.random = Objects.requireNonNull(random, "random");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
    }

    @Override
    public boolean refuses(ServiceId service, long fingerprint) {
        Set<Fingerprint> snapshot = refused;
        if (snapshot.isEmpty() || !snapshot.contains(new Fingerprint(fingerprint))) {
            return false;
        }
        synchronized (this) {
            return log(service).refuses(new Fingerprint(fingerprint), nanoClock.getAsLong());
        }
    }

    @Override
    public void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos) {}

    @Override
    public void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos) {
        Fingerprint request = new Fingerprint(fingerprint);
        if (result.failure() == FailureKind.TRUNCATED) {
            lose(service, server, request);
        } else if (result.failure().isAnswered()
                && result.failure() != FailureKind.SHED
                && !suspects.isEmpty()
                && suspects.contains(request)) {
            SuspectUpdate update = new SuspectUpdate(service, List.of(Suspect.cleared(request)));
            takeCleared(update);
            peers.reportCleared(update);
        }
    }

    /** Takes the report of a crash, by this daemon or by a peer. */
    synchronized void takeCrash(CrashReport report) {
        log(report.service()).addReport(report, nanoClock.getAsLong());
        LOG.infof(
                "server=%s service=%s state=crashed requests=%s",
                report.server(), report.service(), report.fingerprints());
        publish();
    }

    /** Takes that suspects completed, at this daemon or at a peer. */
    synchronized void takeCleared(SuspectUpdate update) {
        log(update.service()).applyClearings(update, nanoClock.getAsLong());
        publish();
    }

    private synchronized void lose(ServiceId service, ServerId server, Fingerprint request) {
        Set<Fingerprint> waiting = unconfirmed.get(server);
        if (waiting == null) {
            waiting = new TreeSet<>();
            unconfirmed.put(server, waiting);
            probe.start(server, answered -> confirm(service, server, answered));
        }
        if (waiting.size() < FINGERPRINTS_PER_REPORT) {
            waiting.add(request);
        }
    }

    private void confirm(ServiceId service, ServerId server, boolean answered) {
        Set<Fingerprint> requests;
        synchronized (this) {
            requests = unconfirmed.remove(server);
        }
        if (requests == null || answered) {
            return;
        }
        CrashReport report = new CrashReport(service, server, new ArrayList<>(requests));
        takeCrash(report);
        peers.reportCrash(report);
    }

    private void publish() {
        Set<Fingerprint> nowSuspected = new HashSet<>();
        Set<Fingerprint> nowRefused = new HashSet<>();
        logs.values()
                .forEach(log -> log.snapshot(nanoClock.getAsLong()).suspects().stream()
                        .filter(suspect -> !suspect.isCleared())
                        .forEach(
                                suspect -> (suspect.refused() ? nowRefused : nowSuspected).add(suspect.fingerprint())));
        nowRefused.stream()
                .filter(request -> !refused.contains(request))
                .forEach(request -> LOG.warnf("fingerprint=%s state=refused reason=crashes-servers", request));
        nowSuspected.addAll(nowRefused);
        suspects = nowSuspected;
        refused = nowRefused;
    }

    private CrashLog log(ServiceId service) {
        return logs.computeIfAbsent(service, key -> new CrashLog(key, random));
    }
}
