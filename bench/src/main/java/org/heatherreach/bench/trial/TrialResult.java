package org.heatherreach.bench.trial;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.heatherreach.state.rank.Rank;

/** Counts how the requests of a trial ended, by rank. Safe for use by any thread. */
public final class TrialResult {
    private final Map<Rank, Map<TrialAnswer.Kind, Histogram>> latencies = new EnumMap<>(Rank.class);

    /** Creates an empty result. */
    public TrialResult() {
        for (Rank rank : Rank.values()) {
            Map<TrialAnswer.Kind, Histogram> byKind = new EnumMap<>(TrialAnswer.Kind.class);
            for (TrialAnswer.Kind kind : TrialAnswer.Kind.values()) {
                byKind.put(kind, new ConcurrentHistogram(3));
            }
            latencies.put(rank, byKind);
        }
    }

    /** Adds an answer. */
    public void add(Rank rank, TrialAnswer answer) {
        latencies.get(rank).get(answer.kind()).recordValue(answer.latencyNanos() / 1000);
    }

    /** Returns how many requests of a rank ended in a kind. */
    public long count(Rank rank, TrialAnswer.Kind kind) {
        return latencies.get(rank).get(kind).getTotalCount();
    }

    /** Returns how many requests ended in a kind. */
    public long count(TrialAnswer.Kind kind) {
        long total = 0;
        for (Rank rank : Rank.values()) {
            total += count(rank, kind);
        }
        return total;
    }

    /** Returns a table for reading. */
    public String summary() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%-9s %8s %6s %8s %8s %8s %7s %9s %9s%n",
                "rank",
                "right",
                "wrong",
                "error",
                "not-run",
                "unknown",
                "broken",
                "p50 ms",
                "p99 ms"));
        for (Rank rank : Rank.values()) {
            Histogram right = latencies.get(rank).get(TrialAnswer.Kind.RIGHT);
            text.append(String.format(
                    Locale.ROOT,
                    "%-9s %8d %6d %8d %8d %8d %7d %9.1f %9.1f%n",
                    rank.label(),
                    right.getTotalCount(),
                    count(rank, TrialAnswer.Kind.WRONG),
                    count(rank, TrialAnswer.Kind.BACKEND_ERROR),
                    count(rank, TrialAnswer.Kind.NOT_RUN),
                    count(rank, TrialAnswer.Kind.UNKNOWN),
                    count(rank, TrialAnswer.Kind.BROKEN),
                    right.getValueAtPercentile(50) / 1000.0,
                    right.getValueAtPercentile(99) / 1000.0));
        }
        return text.toString();
    }
}
