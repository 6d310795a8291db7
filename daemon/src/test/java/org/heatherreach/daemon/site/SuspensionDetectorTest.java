package org.heatherreach.daemon.site;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class SuspensionDetectorTest {
    private long nowNanos = -5;
    private long nowMillis = 1_000_000;
    private final List<Long> omittedMillis = new ArrayList<>();
    private final SuspensionDetector detector = new SuspensionDetector(
            () -> nowNanos, () -> nowMillis, nanos -> omittedMillis.add(TimeUnit.NANOSECONDS.toMillis(nanos)));

    // Guards against sending requests as if no time had passed while the VM was suspended.
    @Example
    void reportsTheTimeThatTheMonotonicClockOmits() {
        advance(250, 250);
        advance(250, 4250);
        advance(250, 250);
        assertThat(omittedMillis).containsExactly(4000L);
    }

    // Guards against reporting a suspension when the VM is busy, or when the wall clock is corrected or set back.
    @Example
    void ignoresLateTimersAndClocksSetBack() {
        advance(3000, 3000);
        advance(250, 300);
        advance(250, -5000);
        advance(250, 250);
        assertThat(omittedMillis).isEmpty();
    }

    private void advance(long monotonicMillis, long wallClockMillis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(monotonicMillis);
        nowMillis += wallClockMillis;
        detector.check();
    }
}
