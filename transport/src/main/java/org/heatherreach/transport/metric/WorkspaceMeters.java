package org.heatherreach.transport.metric;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.state.id.WorkspaceId;

/**
 * Counters of requests and refusals by workspace. The {@value #MAX_SEPARATE} workspaces with the most requests since the
 * start are counted separately, all others together under the name {@value #OTHER}.
 *
 * <p>Invariants: each request is counted in exactly one series, the one of its workspace at the time of the request, so
 * that no series ever decreases; nothing is registered until a request of a workspace is counted.
 *
 * <p>Safe for use by any thread. Counting takes a lock only when a workspace becomes one of the most active.
 */
public final class WorkspaceMeters {
    /** The maximum number of workspaces that are counted separately. */
    public static final int MAX_SEPARATE = 100;

    /** The name under which all other workspaces are counted. */
    public static final String OTHER = "other";

    /** Bounds the memory; more than all workspaces of the largest deployment, 19,000. */
    static final int MAX_KNOWN = 65_536;

    private static final String REQUESTS = "heatherreach.workspace.requests";
    private static final String REFUSALS = "heatherreach.workspace.refusals";
    private static final String TAG = "workspace";
    /** A workspace replaces another one only if it is more active by this share, so that equal ones don't alternate. */
    private static final int REPLACEMENT_MARGIN_DIVISOR = 8;

    private final MeterRegistry registry;
    private final Map<WorkspaceId, AtomicLong> requestCounts = new ConcurrentHashMap<>();
    private final Map<WorkspaceId, Series> separate = new ConcurrentHashMap<>();
    private volatile Series other;
    /** No more than the count of any separately counted workspace, which is 0 while there is room for another one. */
    private volatile long minSeparateCount;

    /** The counters of one name. */
    private record Series(Counter requests, Counter refusals) {}

    WorkspaceMeters(MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    /** Counts a request that was accepted for a workspace. */
    public void countRequest(WorkspaceId workspace) {
        AtomicLong count = countOf(workspace);
        long requests = count == null ? 0 : count.incrementAndGet();
        Series series = separate.get(workspace);
        if (series == null
                && !OTHER.equals(workspace.value())
                && requests > minSeparateCount + minSeparateCount / REPLACEMENT_MARGIN_DIVISOR) {
            series = separate(workspace, requests);
        }
        (series == null ? other() : series).requests.increment();
    }

    /** Counts a request of a workspace that was accepted first and refused later. */
    public void countRefusal(WorkspaceId workspace) {
        Series series = separate.get(workspace);
        (series == null ? other() : series).refusals.increment();
    }

    /** Returns the counter of a workspace; null if too many are known already. */
    private AtomicLong countOf(WorkspaceId workspace) {
        AtomicLong count = requestCounts.get(workspace);
        if (count != null || requestCounts.size() >= MAX_KNOWN) {
            return count;
        }
        return requestCounts.computeIfAbsent(workspace, id -> new AtomicLong());
    }

    /** Counts a workspace separately from now on, unless all those that already are have been more active. */
    private synchronized Series separate(WorkspaceId workspace, long requests) {
        Series existing = separate.get(workspace);
        if (existing != null) {
            return existing;
        }
        if (separate.size() >= MAX_SEPARATE) {
            WorkspaceId least = separate.keySet().stream()
                    .min(Comparator.comparingLong(this::knownRequests))
                    .orElseThrow();
            minSeparateCount = knownRequests(least);
            if (requests <= minSeparateCount + minSeparateCount / REPLACEMENT_MARGIN_DIVISOR) {
                return null;
            }
            Series replaced = separate.remove(least);
            registry.remove(replaced.requests);
            registry.remove(replaced.refusals);
        }
        Series series = series(workspace.value());
        separate.put(workspace, series);
        return series;
    }

    private long knownRequests(WorkspaceId workspace) {
        return requestCounts.get(workspace).get();
    }

    /** Registered on first use, so that a deployment without workspaces has no such series. */
    private synchronized Series other() {
        if (other == null) {
            other = series(OTHER);
        }
        return other;
    }

    private Series series(String name) {
        return new Series(registry.counter(REQUESTS, TAG, name), registry.counter(REFUSALS, TAG, name));
    }
}
