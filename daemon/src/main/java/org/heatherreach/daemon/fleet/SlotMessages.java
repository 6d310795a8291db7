package org.heatherreach.daemon.fleet;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.Queue;

import org.heatherreach.coordination.slot.LedgerAction;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotGrant;
import org.heatherreach.coordination.slot.SlotRecall;
import org.heatherreach.coordination.slot.SlotReport;
import org.heatherreach.protocol.peer.SlotCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;

/**
 * Sends the messages of slot pools and ledgers. Messages of this daemon to itself are delivered after the event that
 * caused them, so that no decision is re-entered.
 *
 * <p>Invariants: messages to this daemon are delivered in the order in which they were sent; each is delivered once.
 *
 * <p>Thread safety: confined to the duty thread.
 */
final class SlotMessages {
    private final PartOwners owners;
    private final PeerSender sender;
    private final Receiver receiver;
    private final Queue<Runnable> toSelf = new ArrayDeque<>();

    /**
     * Creates an instance.
     *
     * @param owners tells which daemon is this one
     * @param sender sends messages to other daemons
     * @param receiver receives the messages of this daemon to itself
     */
    SlotMessages(PartOwners owners, PeerSender sender, Receiver receiver) {
        this.owners = Objects.requireNonNull(owners, "owners");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.receiver = Objects.requireNonNull(receiver, "receiver");
    }

    /** Sends the report of a pool. */
    void send(SlotAction.SendReport send) {
        if (owners.isSelf(send.owner())) {
            toSelf.add(() -> receiver.handleReport(send.owner(), send.report(), System.nanoTime()));
        } else {
            sender.send(send.owner(), Frame.newBuilder().setSlotReport(SlotCodec.encode(send.report())));
        }
    }

    /** Sends the messages of a ledger. */
    void sendAll(List<LedgerAction> actions) {
        for (LedgerAction action : actions) {
            IncarnationId daemon = action.daemon();
            if (action instanceof LedgerAction.SendGrant send) {
                if (owners.isSelf(daemon)) {
                    toSelf.add(() -> receiver.handleGrant(daemon, send.grant(), System.nanoTime()));
                } else {
                    sender.send(daemon, Frame.newBuilder().setSlotGrant(SlotCodec.encode(send.grant())));
                }
            } else if (action instanceof LedgerAction.SendRecall send) {
                if (owners.isSelf(daemon)) {
                    toSelf.add(() -> receiver.handleRecall(daemon, send.recall(), System.nanoTime()));
                } else {
                    sender.send(daemon, Frame.newBuilder().setSlotRecall(SlotCodec.encode(send.recall())));
                }
            }
        }
    }

    /** Delivers the messages of this daemon to itself, also those that are sent meanwhile. */
    void deliverToSelf() {
        Runnable message = toSelf.poll();
        while (message != null) {
            message.run();
            message = toSelf.poll();
        }
    }

    /** Handles slot messages. */
    interface Receiver {
        /** Handles the report of a pool to the owner of its part. */
        void handleReport(IncarnationId daemon, SlotReport report, long nowNanos);

        /** Handles the grant of an owner. */
        void handleGrant(IncarnationId owner, SlotGrant grant, long nowNanos);

        /** Handles the recall of an owner. */
        void handleRecall(IncarnationId owner, SlotRecall recall, long nowNanos);
    }
}
