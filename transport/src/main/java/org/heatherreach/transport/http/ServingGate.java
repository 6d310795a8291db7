package org.heatherreach.transport.http;

import java.util.concurrent.atomic.AtomicBoolean;

import io.vavr.control.Option;
import org.heatherreach.state.outcome.RefusalReason;

/** Says whether the daemon takes new requests, and whether it belongs in the address list. Safe for use by any thread. */
public final class ServingGate {
    private final AtomicBoolean isolated = new AtomicBoolean();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Sets whether the daemon is cut off from its peers and the store.
     *
     * @return whether the state changed
     */
    public boolean setIsolated(boolean value) {
        return isolated.getAndSet(value) != value;
    }

    /**
     * Takes the daemon off the address list for good.
     *
     * @return whether the state changed
     */
    public boolean leave() {
        return !leaving.getAndSet(true);
    }

    /** Makes every later answer end its connection. */
    public void drain() {
        draining.set(true);
    }

    /** Refuses every later request. */
    public void stop() {
        stopping.set(true);
    }

    /** Returns whether answers end their connections. */
    public boolean isDraining() {
        return draining.get();
    }

    /** Returns whether callers may be sent to this daemon. */
    public boolean isListed() {
        return !isolated.get() && !leaving.get();
    }

    /** Returns why a new request is refused now, if it is. */
    public Option<RefusalReason> refusal() {
        if (stopping.get()) {
            return Option.of(RefusalReason.SHUTTING_DOWN);
        }
        return isolated.get() ? Option.of(RefusalReason.ISOLATED) : Option.none();
    }

    /** Returns the state in one word, for the health endpoint. */
    public String label() {
        if (leaving.get()) {
            return "leaving";
        }
        return isolated.get() ? "isolated" : "serving";
    }
}
