package org.heatherreach.transport.http;

import java.util.concurrent.atomic.AtomicBoolean;

import io.vavr.control.Option;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * Holds whether the daemon accepts new requests and whether it is in the address list for callers. Safe for use by any
 * thread.
 */
public final class ServingGate {
    private final AtomicBoolean isolated = new AtomicBoolean();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Sets whether the daemon is isolated from its peers and the store.
     *
     * @return whether the state changed
     */
    public boolean setIsolated(boolean value) {
        return isolated.getAndSet(value) != value;
    }

    /**
     * Removes the daemon permanently from the address list.
     *
     * @return whether the state changed
     */
    public boolean leave() {
        return !leaving.getAndSet(true);
    }

    /** Makes every later response close its connection. */
    public void drain() {
        draining.set(true);
    }

    /** Refuses every later request. */
    public void stop() {
        stopping.set(true);
    }

    /** Returns whether responses close their connections. */
    public boolean isDraining() {
        return draining.get();
    }

    /** Returns whether this daemon is in the address list for callers. */
    public boolean isListed() {
        return !isolated.get() && !leaving.get();
    }

    /** Returns the reason for which new requests are currently refused; empty if they are accepted. */
    public Option<RefusalReason> refusal() {
        if (stopping.get()) {
            return Option.of(RefusalReason.SHUTTING_DOWN);
        }
        return isolated.get() ? Option.of(RefusalReason.ISOLATED) : Option.none();
    }

    /** Returns the label of the state for the health endpoint. */
    public String label() {
        if (leaving.get()) {
            return "leaving";
        }
        return isolated.get() ? "isolated" : "serving";
    }
}
