package org.heatherreach.coordination.slot;

import org.heatherreach.state.id.IncarnationId;

/** A message that the caller of a {@link SlotLedger} is to send. Immutable and safe for use by any thread. */
public sealed interface LedgerAction {
    /** Returns the receiver of the message. */
    IncarnationId daemon();

    /**
     * Send a grant.
     *
     * @param daemon the receiver
     * @param grant the message
     */
    record SendGrant(IncarnationId daemon, SlotGrant grant) implements LedgerAction {}

    /**
     * Send a recall.
     *
     * @param daemon the receiver
     * @param recall the message
     */
    record SendRecall(IncarnationId daemon, SlotRecall recall) implements LedgerAction {}
}
