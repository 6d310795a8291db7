package org.heatherreach.coordination.watch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.heatherreach.coordination.watch.FetchAction.DropReason;

/**
 * Decides when this daemon fetches a newer version from a peer that reported it, and from which one.
 *
 * <p>The store gets 300 ms to deliver a reported version. Then the peers are asked one after the other, newest version
 * first, then those in the own zone, then those that reported last. When all were asked in vain, they are asked again
 * after a pause.
 *
 * <p>Invariants: at most one fetch is in progress; no peer is asked twice for a version within a round; nothing is due
 * while no peer has reported a newer version; memory is bounded, however many peers report.
 *
 * <p>Confined to one thread.
 */
public final class PeerFetchPlan {
    /** The time that the store has to deliver a version. */
    private static final long STORE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long SILENCE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** The largest table of 4 MB takes 3.2 s at the 10 Mbit/s of a small VM. */
    private static final long TRANSFER_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Validating a table with 19,000 workspaces takes a part of a second on a small VM. */
    private static final long VALIDATION_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long ROUND_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** More peers than this are not needed to find one that answers. */
    private static final int MAX_REPORTERS = 32;

    private static final Comparator<Reporter> PREFERENCE = Comparator.<Reporter>comparingLong(
                    reporter -> reporter.version)
            .thenComparing(reporter -> reporter.sameZone)
            .thenComparing((first, second) -> Long.signum(first.lastReportNanos - second.lastReportNanos));

    private final Map<InetSocketAddress, Reporter> reporters = new HashMap<>();
    private long ownVersion;
    private Option<Fetch> current = Option.none();
    private long lastFetch;
    /** No fetch begins before this time. */
    private long earliestStartNanos;

    private int askedPeers;
    /** Whether every peer was asked in vain, so that they are asked again at the next start. */
    private boolean pausing;

    /**
     * Records the version that a peer has in use.
     *
     * @param sameZone whether the peer is in the zone of this daemon
     */
    public void recordReport(InetSocketAddress peer, boolean sameZone, long version, long nowNanos) {
        Objects.requireNonNull(peer, "peer");
        if (version <= ownVersion) {
            reporters.remove(peer);
            return;
        }
        Reporter known = reporters.get(peer);
        if (known != null && known.version >= version) {
            known.lastReportNanos = nowNanos;
            return;
        }
        Reporter reporter = new Reporter(peer, sameZone, version, nowNanos);
        if (known == null && reporters.size() >= MAX_REPORTERS && !replaceLeastPreferred(reporter)) {
            return;
        }
        boolean wasBehind = !reporters.isEmpty();
        reporters.put(peer, reporter);
        long graceEndNanos = nowNanos + STORE_GRACE_NANOS;
        // In a pause, a peer that has not been asked yet is asked without waiting for the end of the pause.
        if (!wasBehind || graceEndNanos - earliestStartNanos < 0) {
            earliestStartNanos = graceEndNanos;
        }
    }

    /** Records the version in use at this daemon, wherever it came from. */
    public List<FetchAction> recordOwnVersion(long version, long nowNanos) {
        List<FetchAction> actions = new ArrayList<>();
        if (version <= ownVersion) {
            return actions;
        }
        ownVersion = version;
        reporters.values().removeIf(reporter -> reporter.version <= version);
        if (current.exists(fetch -> fetch.version <= version)) {
            endCurrent(DropReason.NOT_NEEDED, actions);
        }
        // The store gets its time for each version, from when that one was first reported.
        reporters.values().stream()
                .map(reporter -> reporter.firstReportNanos + STORE_GRACE_NANOS)
                .reduce((first, second) -> first - second <= 0 ? first : second)
                .ifPresent(dueNanos -> earliestStartNanos = dueNanos);
        if (reporters.isEmpty()) {
            askedPeers = 0;
            pausing = false;
        }
        return actions;
    }

    /** Returns whether this is the fetch in progress; a fetch that was dropped is not. */
    public boolean isCurrent(long fetch) {
        return currentIf(fetch).isDefined();
    }

    /** Records that a part of a response has arrived. */
    public void recordProgress(long fetch, long nowNanos) {
        currentIf(fetch)
                .forEach(known ->
                        known.deadlineNanos = earlier(nowNanos + SILENCE_LIMIT_NANOS, known.transferDeadlineNanos));
    }

    /** Records that a response is complete and will be validated. */
    public void recordCompletion(long fetch, long nowNanos) {
        currentIf(fetch).forEach(known -> known.deadlineNanos = nowNanos + VALIDATION_LIMIT_NANOS);
    }

    /** Records that a fetch has ended without a usable version. */
    public void recordFailure(long fetch) {
        currentIf(fetch).forEach(known -> current = Option.none());
    }

    /** Records that the version that a fetch brought is in use now. */
    public List<FetchAction> recordSuccess(long fetch, long version, long nowNanos) {
        recordFailure(fetch);
        return recordOwnVersion(version, nowNanos);
    }

    /**
     * Ends a fetch that is overdue and starts the next one.
     *
     * @param permitted whether this daemon may fetch at all at present
     */
    public List<FetchAction> tick(long nowNanos, boolean permitted) {
        List<FetchAction> actions = new ArrayList<>();
        if (current.exists(fetch -> nowNanos - fetch.deadlineNanos >= 0)) {
            endCurrent(DropReason.TIMEOUT, actions);
        }
        if (current.isDefined() || reporters.isEmpty() || nowNanos - earliestStartNanos < 0) {
            return actions;
        }
        if (permitted) {
            startNext(nowNanos, actions);
        } else {
            earliestStartNanos = nowNanos + ROUND_PAUSE_NANOS;
        }
        return actions;
    }

    /** Returns when {@link #tick} has to be called next; empty while no peer has a newer version. */
    public Option<Long> nextTickNanos() {
        if (current.isDefined()) {
            return current.map(fetch -> fetch.deadlineNanos);
        }
        return reporters.isEmpty() ? Option.none() : Option.some(earliestStartNanos);
    }

    private void startNext(long nowNanos, List<FetchAction> actions) {
        Option<Reporter> next = bestUnasked();
        if (next.isEmpty() && !pausing) {
            long newest = reporters.values().stream()
                    .mapToLong(reporter -> reporter.version)
                    .max()
                    .orElse(ownVersion);
            actions.add(new FetchAction.GiveUp(lastFetch, newest, askedPeers));
            pausing = true;
            earliestStartNanos = nowNanos + ROUND_PAUSE_NANOS;
            return;
        }
        if (next.isEmpty()) {
            askedPeers = 0;
            reporters.values().forEach(reporter -> reporter.asked = false);
            next = bestUnasked();
        }
        pausing = false;
        Reporter reporter = next.get();
        reporter.asked = true;
        askedPeers++;
        lastFetch++;
        current = Option.some(new Fetch(lastFetch, reporter.version, nowNanos));
        actions.add(new FetchAction.Start(lastFetch, reporter.peer, reporter.version));
    }

    private Option<Reporter> bestUnasked() {
        return Option.ofOptional(
                reporters.values().stream().filter(reporter -> !reporter.asked).max(PREFERENCE));
    }

    private void endCurrent(DropReason reason, List<FetchAction> actions) {
        actions.add(new FetchAction.Drop(current.get().number, reason));
        current = Option.none();
    }

    private boolean replaceLeastPreferred(Reporter candidate) {
        Reporter least = reporters.values().stream().min(PREFERENCE).orElseThrow();
        // Peers that differ in the time of their report only are not exchanged, because one may have been asked.
        boolean better = candidate.version > least.version
                || (candidate.version == least.version && candidate.sameZone && !least.sameZone);
        if (better) {
            reporters.remove(least.peer);
        }
        return better;
    }

    private Option<Fetch> currentIf(long number) {
        return current.filter(fetch -> fetch.number == number);
    }

    private static long earlier(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos <= 0 ? firstNanos : secondNanos;
    }

    /** A peer with a newer version. */
    private static final class Reporter {
        private final InetSocketAddress peer;
        private final boolean sameZone;
        private final long version;
        private final long firstReportNanos;
        private long lastReportNanos;
        private boolean asked;

        private Reporter(InetSocketAddress peer, boolean sameZone, long version, long nowNanos) {
            this.peer = peer;
            this.sameZone = sameZone;
            this.version = version;
            this.firstReportNanos = nowNanos;
            this.lastReportNanos = nowNanos;
        }
    }

    private static final class Fetch {
        private final long number;
        private final long version;
        private final long transferDeadlineNanos;
        private long deadlineNanos;

        private Fetch(long number, long version, long nowNanos) {
            this.number = number;
            this.version = version;
            this.transferDeadlineNanos = nowNanos + TRANSFER_LIMIT_NANOS;
            this.deadlineNanos = nowNanos + SILENCE_LIMIT_NANOS;
        }
    }
}
