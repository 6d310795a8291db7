package org.heatherreach.coordination.admission;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private static Map<Rank, RankLimits> rankLimits(int urgent, int standard, int bulk) {
        Map<Rank, RankLimits> limits = new EnumMap<>(Rank.class);
        limits.put(Rank.URGENT, new RankLimits(Rank.URGENT, 1, urgent, 10, 1_000));
        limits.put(Rank.STANDARD, new RankLimits(Rank.STANDARD, 1, standard, 10, 1_000));
        limits.put(Rank.BULK, new RankLimits(Rank.BULK, 1, bulk, 10, 1_000));
        return limits;
    }

    // Guards against shares that give a rank less than its guarantee although it needs or expects that many slots, and
    // against shares with a sum of more than all slots.
    @Property(seed = "4201")
    void sharesMeetGuaranteesAndFitAllSlots(
            @ForAll @IntRange(min = 1, max = 500) int slots,
            @ForAll @IntRange(max = 50) int urgent,
            @ForAll @IntRange(max = 30) int standard,
            @ForAll @IntRange(max = 20) int bulk,
            @ForAll @Size(3) List<@IntRange(max = 1_000) Integer> queued,
            @ForAll @IntRange(max = 500) int expectedPerRank) {
        int[] needed = queued.stream().mapToInt(Integer::intValue).toArray();
        Map<Rank, RankLimits> limits = rankLimits(urgent, standard, bulk);
        double[] expected = {expectedPerRank, expectedPerRank, expectedPerRank};
        RankShares shares = new RankShares(slots, needed, expected, limits);
        double sum = 0;
        for (Rank rank : Rank.values()) {
            double guarantee = slots * limits.get(rank).guaranteePercent() / 100.0;
            sum += shares.allowedSlots(rank);
            double reserved = Math.min(guarantee, Math.max(expectedPerRank, needed[rank.ordinal()]));
            assertThat(shares.allowedSlots(rank)).isGreaterThanOrEqualTo(reserved - 1e-6);
            if (!shares.isLimited(rank) && shares.isCongested()) {
                assertThat((double) needed[rank.ordinal()]).isLessThanOrEqualTo(shares.allowedSlots(rank) + 1e-6);
            }
        }
        assertThat(sum).isLessThanOrEqualTo(slots + 1e-6);
    }

    // Guards against unreserved slots that are given to bulk requests while urgent requests are queued.
    @Example
    void unreservedSlotsGoToTheMostUrgentRank() {
        RankShares shares = new RankShares(100, new int[] {500, 500, 500}, new double[3], rankLimits(40, 25, 15));
        assertThat(shares.allowedSlots(Rank.URGENT)).isEqualTo(60);
        assertThat(shares.allowedSlots(Rank.STANDARD)).isEqualTo(25);
        assertThat(shares.allowedSlots(Rank.BULK)).isEqualTo(15);
    }

    // Guards against idle slots during a burst of bulk requests: they stay idle if ranks with little load reserve their
    // whole guarantee.
    @Example
    void unneededGuaranteeIsUsedByOtherRanks() {
        RankShares shares =
                new RankShares(100, new int[] {10, 5, 500}, new double[] {12.5, 7.5, 5}, rankLimits(40, 25, 15));
        assertThat(shares.allowedSlots(Rank.URGENT)).isEqualTo(13);
        assertThat(shares.allowedSlots(Rank.STANDARD)).isEqualTo(8);
        assertThat(shares.allowedSlots(Rank.BULK)).isEqualTo(79);
    }

    // Guards against more retries in a window of 10 s than the configured percentage of its requests.
    @Property(seed = "4202", tries = 200)
    void retriesStayWithinTheBudget(@ForAll long seed, @ForAll @IntRange(max = 100) int percent) {
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget(0);
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 500; i++) {
            long nowNanos = i * SECOND_NANOS / 100;
            if (random.nextInt(3) > 0) {
                budget.countRequest(nowNanos);
                requests++;
            } else if (budget.tryAcquire(nowNanos, percent)) {
                retries++;
            }
            assertThat(retries).isLessThanOrEqualTo(requests * percent / 100);
        }
        assertThat(budget.tryAcquire(60 * SECOND_NANOS, percent)).isFalse();
    }

    // Guards against callers that all retry at the same time, and against callers that wait until the backlog has
    // drained and then have to queue a second time.
    @Example
    void hintsAreSpreadOverTheExpectedWait() {
        RetryHint hint = new RetryHint(new Random(7));
        long[] delaysMillis = new long[500];
        for (int i = 0; i < delaysMillis.length; i++) {
            delaysMillis[i] = hint.randomDelayMillis(2 * SECOND_NANOS);
            assertThat(delaysMillis[i]).isBetween(50L, 2_000L);
        }
        assertThat(Arrays.stream(delaysMillis).distinct().count()).isGreaterThan(300);
        for (long quarter = 0; quarter < 4; quarter++) {
            long quarterStartMillis = 500 * quarter;
            assertThat(Arrays.stream(delaysMillis).filter(millis -> millis / 500 * 500 == quarterStartMillis))
                    .hasSizeGreaterThan(75);
        }
    }

    // Guards against a queue that returns a later deadline first, or elements with equal deadlines in another order
    // than they arrived.
    @Example
    void queueOrdersByDeadlineThenArrival() {
        DeadlineQueue<String> queue = new DeadlineQueue<>();
        queue.add("late", 30);
        queue.add("first", 10);
        DeadlineQueue.Key second = queue.add("second", 10);
        assertThat(queue.elements()).containsExactly("first", "second", "late");
        assertThat(queue.estimateAheadOf(40)).isEqualTo(3);
        assertThat(queue.estimateAheadOf(5)).isZero();
        queue.remove(second);
        assertThat(queue.first()).isEqualTo("first");
        assertThat(queue.size()).isEqualTo(2);
    }
}
