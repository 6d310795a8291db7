package org.heatherreach.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicBoolean;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The slots of a backend server with a bounded queue. Safe for use by any thread. */
final class SlotGate {
    private final int slots;
    private final int queueLimit;
    private final Deque<Sinks.One<Boolean>> queue = new ArrayDeque<>();
    private int inUse;

    SlotGate(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** Emits true once a slot is taken, or false if the queue is full. A cancelled wait takes no slot. */
    Mono<Boolean> acquire() {
        return Mono.defer(() -> {
            Sinks.One<Boolean> waiter = Sinks.one();
            synchronized (this) {
                if (inUse < slots) {
                    inUse++;
                    return Mono.just(true);
                }
                if (queue.size() >= queueLimit) {
                    return Mono.just(false);
                }
                queue.addLast(waiter);
            }
            // A cancellation also arrives after the slot was passed on, when it must not be released twice.
            AtomicBoolean settled = new AtomicBoolean();
            return waiter.asMono()
                    .filter(taken -> settled.compareAndSet(false, true))
                    .doOnCancel(() -> {
                        if (settled.compareAndSet(false, true)) {
                            abandon(waiter);
                        }
                    });
        });
    }

    void release() {
        Sinks.One<Boolean> next;
        synchronized (this) {
            next = queue.pollFirst();
            if (next == null) {
                inUse--;
                return;
            }
        }
        next.tryEmitValue(true);
    }

    synchronized int inUse() {
        return inUse;
    }

    synchronized int queued() {
        return queue.size();
    }

    private void abandon(Sinks.One<Boolean> waiter) {
        boolean wasQueued;
        synchronized (this) {
            wasQueued = queue.remove(waiter);
        }
        if (!wasQueued) {
            // The slot was handed over at the moment of the cancellation.
            release();
        }
    }
}
