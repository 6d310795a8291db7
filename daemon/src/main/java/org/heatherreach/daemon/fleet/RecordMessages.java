package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.coordination.atmostonce.ExecutionLimits;
import org.heatherreach.coordination.atmostonce.IntentAck;
import org.heatherreach.coordination.atmostonce.OutcomeAnswer;
import org.heatherreach.protocol.peer.OnceCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.transport.peer.PeerAddress;
import org.heatherreach.transport.peer.PeerLinks;

/**
 * Sends the messages about keys to other daemons. The responses and failures come back as operations of the ring.
 *
 * <p>Invariants: each request to a peer that was sent leads to at most one operation; one that the full ring refuses is
 * counted there and counts as a lost message.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class RecordMessages {
    /** Equal to the time after which the resolver gives up. */
    private static final int QUERY_TIMEOUT_MILLIS = 800;

    private final MemberDirectory members;
    private final PeerLinks links;
    private final RecordRing ring;
    private final RecordMeters meters;
    private final int ackTimeoutMillis;

    /** Handles the response to a message on the duty thread. */
    @FunctionalInterface
    interface Response<T> {
        /** Handles the response and returns the actions that follow. */
        List<ExecutionAction> handle(T response, long nowNanos);
    }

    RecordMessages(
            MemberDirectory members, PeerLinks links, RecordRing ring, ExecutionLimits limits, RecordMeters meters) {
        this.members = Objects.requireNonNull(members, "members");
        this.links = Objects.requireNonNull(links, "links");
        this.ring = Objects.requireNonNull(ring, "ring");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.ackTimeoutMillis = (int) TimeUnit.NANOSECONDS.toMillis(limits.ackTimeoutNanos());
    }

    /**
     * Sends an intent to a witness.
     *
     * @param acknowledged handles the acknowledgement
     * @param failed runs if the witness is not known or does not acknowledge in time
     */
    void sendIntent(ExecutionAction.SendIntent send, Response<IntentAck> acknowledged, RecordRing.Event failed) {
        Optional<PeerAddress> peer = members.peer(send.witness());
        if (peer.isEmpty()) {
            ring.offer(RecordMeters.Event.INTENT_FAILURE, failed);
            return;
        }
        Frame.Builder frame = Frame.newBuilder().setIntent(OnceCodec.encode(send.intent()));
        links.request(peer.get(), frame, ackTimeoutMillis)
                .map(response -> OnceCodec.decode(response.getIntentAck()))
                .subscribe(
                        ack -> ring.offer(
                                RecordMeters.Event.INTENT_ACK, nowNanos -> acknowledged.handle(ack, nowNanos)),
                        error -> ring.offer(RecordMeters.Event.INTENT_FAILURE, failed));
    }

    /** Sends the copy of an outcome to a witness; counts it as unsent if the witness is not known. */
    void sendOutcome(ExecutionAction.SendOutcome send) {
        Optional<PeerAddress> peer = members.peer(send.witness());
        if (peer.isEmpty()) {
            meters.countUnsentCopy();
            return;
        }
        links.send(peer.get(), Frame.newBuilder().setOutcomeCopy(OnceCodec.encode(send.copy())));
    }

    /**
     * Sends a query to another daemon.
     *
     * @param answered handles the answer
     * @param failed runs if there is none in time
     * @return false if the daemon is not known; then neither of them runs
     */
    boolean sendQuery(ExecutionAction.SendQuery send, Response<OutcomeAnswer> answered, RecordRing.Event failed) {
        Optional<PeerAddress> peer = members.peer(send.to());
        if (peer.isEmpty()) {
            return false;
        }
        Frame.Builder frame = Frame.newBuilder().setOutcomeQuery(OnceCodec.encode(send.query()));
        links.request(peer.get(), frame, QUERY_TIMEOUT_MILLIS)
                .map(response -> OnceCodec.decode(response.getOutcomeAnswer()))
                .subscribe(
                        answer -> ring.offer(
                                RecordMeters.Event.OUTCOME_ANSWER, nowNanos -> answered.handle(answer, nowNanos)),
                        error -> ring.offer(RecordMeters.Event.OUTCOME_ANSWER, failed));
        return true;
    }
}
