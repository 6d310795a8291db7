package org.heatherreach.protocol.peer;

import java.util.Optional;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.heatherreach.coordination.atmostonce.ExecutionKey;
import org.heatherreach.coordination.atmostonce.Intent;
import org.heatherreach.coordination.atmostonce.IntentAck;
import org.heatherreach.coordination.atmostonce.KeyAttempt;
import org.heatherreach.coordination.atmostonce.KeyParseError;
import org.heatherreach.coordination.atmostonce.OutcomeAnswer;
import org.heatherreach.coordination.atmostonce.OutcomeCopy;
import org.heatherreach.coordination.atmostonce.OutcomeQuery;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;

/**
 * Converts messages about execution keys to and from their wire form. Decoding fails with {@link MessageException}.
 * Stateless and safe for use by any thread.
 */
public final class OnceCodec {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private OnceCodec() {}

    /** Converts an intent to its wire form. */
    public static org.heatherreach.protocol.peer.wire.Intent encode(Intent intent) {
        return org.heatherreach.protocol.peer.wire.Intent.newBuilder()
                .setKey(intent.attempt().toText())
                .setFingerprint(intent.fingerprint())
                .build();
    }

    /** Converts an intent from its wire form. */
    public static Intent decode(org.heatherreach.protocol.peer.wire.Intent wire) {
        return MessageDecoding.decode("Intent", () -> new Intent(parseAttempt(wire.getKey()), wire.getFingerprint()));
    }

    /** Converts an acknowledgement to its wire form. */
    public static org.heatherreach.protocol.peer.wire.IntentAck encode(IntentAck ack) {
        return org.heatherreach.protocol.peer.wire.IntentAck.newBuilder()
                .setKey(ack.attempt().toText())
                .setAccepted(ack.accepted())
                .build();
    }

    /** Converts an acknowledgement from its wire form. */
    public static IntentAck decode(org.heatherreach.protocol.peer.wire.IntentAck wire) {
        return MessageDecoding.decode(
                "IntentAck", () -> new IntentAck(parseAttempt(wire.getKey()), wire.getAccepted()));
    }

    /** Converts a copy of an outcome, or a withdrawal, to its wire form. */
    public static org.heatherreach.protocol.peer.wire.OutcomeCopy encode(OutcomeCopy copy) {
        return org.heatherreach.protocol.peer.wire.OutcomeCopy.newBuilder()
                .setKey(copy.attempt().toText())
                .setFingerprint(copy.fingerprint())
                .setAnswer(encode(copy.answer()))
                .build();
    }

    /** Converts a copy of an outcome, or a withdrawal, from its wire form. */
    public static OutcomeCopy decode(org.heatherreach.protocol.peer.wire.OutcomeCopy wire) {
        return MessageDecoding.decode("OutcomeCopy", () -> {
            if (!wire.hasAnswer()) {
                throw new IllegalArgumentException("answer is missing");
            }
            RecordedAnswer answer = decodeAnswer(wire.getAnswer());
            if (!answer.isWithdrawal()) {
                checkStatus(answer);
            }
            return new OutcomeCopy(parseAttempt(wire.getKey()), wire.getFingerprint(), answer);
        });
    }

    /** Converts a query to its wire form. */
    public static org.heatherreach.protocol.peer.wire.OutcomeQuery encode(OutcomeQuery query) {
        return org.heatherreach.protocol.peer.wire.OutcomeQuery.newBuilder()
                .setKey(query.key().toText())
                .setBar(query.bar())
                .build();
    }

    /** Converts a query from its wire form. */
    public static OutcomeQuery decode(org.heatherreach.protocol.peer.wire.OutcomeQuery wire) {
        return MessageDecoding.decode("OutcomeQuery", () -> new OutcomeQuery(parseKey(wire.getKey()), wire.getBar()));
    }

    /** Converts an answer to a query to its wire form. */
    public static org.heatherreach.protocol.peer.wire.OutcomeAnswer encode(OutcomeAnswer answer) {
        var wire = org.heatherreach.protocol.peer.wire.OutcomeAnswer.newBuilder()
                .setKey(answer.key().toText())
                .setKind(encode(answer.kind()))
                .setFingerprint(answer.fingerprint());
        answer.answer().ifPresent(recorded -> wire.setAnswer(encode(recorded)));
        return wire.build();
    }

    /** Converts an answer to a query from its wire form. */
    public static OutcomeAnswer decode(org.heatherreach.protocol.peer.wire.OutcomeAnswer wire) {
        return MessageDecoding.decode("OutcomeAnswer", () -> {
            OutcomeAnswer.Kind kind = decode(wire.getKind());
            if (wire.hasAnswer() != (kind == OutcomeAnswer.Kind.RECORDED)) {
                throw new IllegalArgumentException("an answer must be present if and only if the kind is RECORDED");
            }
            Optional<RecordedAnswer> answer =
                    wire.hasAnswer() ? Optional.of(checkStatus(decodeAnswer(wire.getAnswer()))) : Optional.empty();
            return new OutcomeAnswer(parseKey(wire.getKey()), kind, wire.getFingerprint(), answer);
        });
    }

    private static org.heatherreach.protocol.peer.wire.RecordedAnswer encode(RecordedAnswer answer) {
        return org.heatherreach.protocol.peer.wire.RecordedAnswer.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(ByteString.copyFrom(answer.body()))
                .setComplete(answer.complete())
                .build();
    }

    private static RecordedAnswer decodeAnswer(org.heatherreach.protocol.peer.wire.RecordedAnswer wire) {
        return new RecordedAnswer(
                wire.getStatus(), wire.getContentType(), wire.getBody().toByteArray(), wire.getComplete());
    }

    private static RecordedAnswer checkStatus(RecordedAnswer answer) {
        if (answer.status() < MIN_STATUS || answer.status() > MAX_STATUS) {
            throw new IllegalArgumentException("status must lie in 100 to 599");
        }
        return answer;
    }

    private static org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind encode(OutcomeAnswer.Kind kind) {
        return switch (kind) {
            case UNKNOWN_KEY -> org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind.KIND_UNKNOWN_KEY;
            case BARRED -> org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind.KIND_BARRED;
            case INTENT -> org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind.KIND_INTENT;
            case RECORDED -> org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind.KIND_RECORDED;
            case RUNNING -> org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind.KIND_RUNNING;
            case EXPIRED -> org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind.KIND_EXPIRED;
        };
    }

    private static OutcomeAnswer.Kind decode(org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind kind) {
        return switch (kind) {
            case KIND_UNKNOWN_KEY -> OutcomeAnswer.Kind.UNKNOWN_KEY;
            case KIND_BARRED -> OutcomeAnswer.Kind.BARRED;
            case KIND_INTENT -> OutcomeAnswer.Kind.INTENT;
            case KIND_RECORDED -> OutcomeAnswer.Kind.RECORDED;
            case KIND_RUNNING -> OutcomeAnswer.Kind.RUNNING;
            case KIND_EXPIRED -> OutcomeAnswer.Kind.EXPIRED;
            case KIND_UNSPECIFIED, UNRECOGNIZED -> throw new IllegalArgumentException("unknown kind of answer");
        };
    }

    private static KeyAttempt parseAttempt(String text) {
        return valueOrThrow(KeyAttempt.parse(text));
    }

    private static ExecutionKey parseKey(String text) {
        return valueOrThrow(ExecutionKey.parse(text));
    }

    private static <T> T valueOrThrow(Either<KeyParseError, T> parsed) {
        return parsed.getOrElseThrow(error -> new IllegalArgumentException("malformed key: " + error));
    }
}
