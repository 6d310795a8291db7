package org.heatherreach.transport.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class DutyThreadTest {
    // Guards against events that are dropped without being counted when the ring buffer is full.
    @Example
    void countsEventsThatAFullRingRefuses() throws InterruptedException {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch handled = new CountDownLatch(1);
        List<Integer> seen = new ArrayList<>();
        try (DutyThread<Integer> duty = new DutyThread<>(
                "duty-test",
                4,
                event -> {
                    await(release);
                    seen.add(event);
                    handled.countDown();
                },
                nowNanos -> {},
                TimeUnit.MINUTES.toNanos(1))) {
            int accepted = 0;
            for (int i = 0; i < 10; i++) {
                if (duty.offer(i)) {
                    accepted++;
                }
            }
            assertThat(accepted).isEqualTo(4);
            assertThat(duty.refusedEvents()).isEqualTo(6);
            release.countDown();
            duty.start();
            handled.await();
        }
        assertThat(seen).containsExactly(0, 1, 2, 3);
    }

    // Guards against a deadline that is ignored until the next regular tick, whether an event or a tick sets it. The
    // deadline of a tick would be lost if the regular interval were set after the tick.
    @Example
    void ticksByTheDeadlineThatAnEventSets() throws InterruptedException {
        CountDownLatch ticked = new CountDownLatch(2);
        AtomicReference<DutyThread<Integer>> self = new AtomicReference<>();
        try (DutyThread<Integer> duty = new DutyThread<>(
                "duty-test",
                4,
                event -> self.get().advanceTickTo(System.nanoTime()),
                nowNanos -> {
                    ticked.countDown();
                    self.get().advanceTickTo(nowNanos);
                },
                TimeUnit.DAYS.toNanos(1))) {
            self.set(duty);
            duty.start();
            assertThat(duty.offer(1)).isTrue();
            assertThat(ticked.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
