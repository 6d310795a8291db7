package org.heatherreach.coordination.watch;

import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;

/**
 * Since when this daemon has known of versions that are newer than its own.
 *
 * <p>A report counts until the daemon has that version. A peer reports a version only a few times while it is idle, so
 * the end of its reports says nothing. Only the store refutes a reported version: by responding long after the last
 * report without having shown it.
 *
 * <p>Invariants: the time never moves forward while the same version is missing; memory is bounded.
 *
 * <p>Confined to one thread, or guarded by the caller.
 */
public final class NewerVersions {
    /** A poll that began before a report can wait for 5 s; twice as long covers a peer that reads late as well. */
    private static final long REFUTATION_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Versions beyond this number share the time of the newest one that is recorded. */
    private static final int MAX_VERSIONS = 16;

    private final TreeMap<Long, Long> firstReportNanosByVersion = new TreeMap<>();
    private long ownVersion;
    private long lastReportNanos;

    /** Records the version that this daemon has. */
    public void recordOwnVersion(long version) {
        ownVersion = Math.max(ownVersion, version);
        firstReportNanosByVersion.headMap(ownVersion, true).clear();
    }

    /** Records the version that another daemon has. */
    public void recordReport(long version, long nowNanos) {
        if (version <= ownVersion) {
            return;
        }
        lastReportNanos = nowNanos;
        if (firstReportNanosByVersion.size() < MAX_VERSIONS || firstReportNanosByVersion.containsKey(version)) {
            firstReportNanosByVersion.putIfAbsent(version, nowNanos);
        } else if (version > firstReportNanosByVersion.lastKey()) {
            firstReportNanosByVersion.put(
                    version, firstReportNanosByVersion.pollLastEntry().getValue());
        }
    }

    /** Records a response of the store that showed no newer version than the own one. */
    public void recordStoreResponse(long nowNanos) {
        if (nowNanos - lastReportNanos >= REFUTATION_NANOS) {
            firstReportNanosByVersion.clear();
        }
    }

    /** Returns when the first of the versions that are newer than the own one was reported; empty if there are none. */
    public Option<Long> knownSinceNanos() {
        // A later version can have been reported first.
        return Option.ofOptional(firstReportNanosByVersion.values().stream()
                .reduce((first, second) -> first - second <= 0 ? first : second));
    }
}
