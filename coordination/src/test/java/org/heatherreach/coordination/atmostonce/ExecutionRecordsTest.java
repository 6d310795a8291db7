package org.heatherreach.coordination.atmostonce;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

class ExecutionRecordsTest {
    private static final IncarnationId SELF = new IncarnationId(11);
    private static final IncarnationId FIRST_WITNESS = new IncarnationId(12);
    private static final IncarnationId SECOND_WITNESS = new IncarnationId(13);
    private static final RequestId REQUEST = new RequestId("a");
    private static final RequestId RETRY = new RequestId("b");
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ExecutionLimits limits =
            new ExecutionLimits(600 * SECOND_NANOS, SECOND_NANOS, 3 * SECOND_NANOS, 2, 2, 100_000);
    private final ExecutionRecords records = new ExecutionRecords(SELF, limits, 0);

    private static ExecutionKey key(long sequence) {
        return new ExecutionKey(
                SELF,
                new MemberAddress("10.0.0.1", 8_000),
                FIRST_WITNESS,
                SECOND_WITNESS,
                sequence,
                600 * SECOND_NANOS);
    }

    private KeyAttempt prepareAttempt(ExecutionKey key) {
        ExecutionAction.Admit admit =
                (ExecutionAction.Admit) records.begin(key, 7, REQUEST, 0).get(0);
        records.onSlotGranted(admit.attempt(), 0);
        return admit.attempt();
    }

    /** Guards against a key that is accepted although a character of its text was changed on the way. */
    @Property(seed = "7501", tries = 500)
    void damagedKeyIsRefused(@ForAll @IntRange(min = 0, max = 200) int position, @ForAll char replacement) {
        String text = key(9).toText();
        assertThat(ExecutionKey.parse(text)).isEqualTo(Either.right(key(9)));
        int index = position % text.length();
        if (text.charAt(index) != replacement) {
            String damaged = text.substring(0, index) + replacement + text.substring(index + 1);
            assertThat(ExecutionKey.parse(damaged).isLeft()).isTrue();
        }
        assertThat(KeyAttempt.parse(new KeyAttempt(key(9), 3).toText()))
                .isEqualTo(Either.right(new KeyAttempt(key(9), 3)));
    }

    /** Guards against a second dispatch after the acknowledgement of the second witness, or after a duplicate. */
    @Example
    void secondAcknowledgementDispatchesNothing() {
        KeyAttempt attempt = prepareAttempt(key(1));
        assertThat(records.acknowledge(FIRST_WITNESS, new IntentAck(attempt, true), 1))
                .containsExactly(new ExecutionAction.Dispatch(attempt, REQUEST));
        assertThat(records.acknowledge(SECOND_WITNESS, new IntentAck(attempt, true), 2))
                .isEmpty();
        assertThat(records.acknowledge(FIRST_WITNESS, new IntentAck(attempt, true), 3))
                .isEmpty();
    }

    /**
     * Guards against a late dispatch by a daemon that was paused while the acknowledgement was in its receive buffer.
     */
    @Example
    void acknowledgementAfterAPauseIsRefused() {
        KeyAttempt attempt = prepareAttempt(key(1));
        List<ExecutionAction> actions =
                records.acknowledge(FIRST_WITNESS, new IntentAck(attempt, true), 20 * SECOND_NANOS);
        assertThat(actions).contains(new ExecutionAction.Refuse(REQUEST, RefusalReason.ACTIVITY_LAPSED));
        assertThat(records.dispatches()).isZero();
    }

    /** Guards against an answer that is replayed to a different request with the same key. */
    @Example
    void requestWithDifferentFingerprintIsRefused() {
        prepareAttempt(key(1));
        assertThat(records.begin(key(1), 8, RETRY, 1))
                .containsExactly(new ExecutionAction.Refuse(RETRY, RefusalReason.INVALID_KEY));
    }

    /**
     * Guards against a late acknowledgement of an ended attempt that dispatches the next attempt before its own intent
     * is acknowledged.
     */
    @Example
    void lateAcknowledgementOfAnEarlierAttemptIsIgnored() {
        KeyAttempt attempt = prepareAttempt(key(1));
        assertThat(records.tick(SECOND_NANOS)).contains(new ExecutionAction.Refuse(REQUEST, RefusalReason.NO_WITNESS));
        ExecutionAction.Admit secondAdmit = (ExecutionAction.Admit)
                records.begin(key(1), 7, RETRY, SECOND_NANOS).get(0);
        records.onSlotGranted(secondAdmit.attempt(), SECOND_NANOS);
        assertThat(records.acknowledge(FIRST_WITNESS, new IntentAck(attempt, true), SECOND_NANOS + 1))
                .isEmpty();
        assertThat(records.acknowledge(FIRST_WITNESS, new IntentAck(secondAdmit.attempt(), true), SECOND_NANOS + 2))
                .containsExactly(new ExecutionAction.Dispatch(secondAdmit.attempt(), RETRY));
    }

    /** Guards against a delayed copy of a request that runs after another daemon has answered "not run". */
    @Example
    void keyBarredByQueryIsNeverAdmitted() {
        OutcomeQuery query = new OutcomeQuery(key(1), true);
        assertThat(records.handleQuery(query, 0).kind()).isEqualTo(OutcomeAnswer.Kind.BARRED);
        assertThat(records.begin(key(1), 7, REQUEST, 1))
                .containsExactly(new ExecutionAction.Refuse(REQUEST, RefusalReason.KEY_BARRED));
        KeyAttempt attempt = prepareAttempt(key(2));
        records.refuse(attempt, RefusalReason.CONNECT_FAILED, 1);
        assertThat(records.handleQuery(new OutcomeQuery(key(2), true), 2).kind())
                .isEqualTo(OutcomeAnswer.Kind.BARRED);
        assertThat(records.begin(key(2), 7, RETRY, 3))
                .containsExactly(new ExecutionAction.Refuse(RETRY, RefusalReason.KEY_BARRED));
    }

    /**
     * Guards against the removal of unexpired records at the limit of records, and against refusals that are not
     * counted.
     */
    @Example
    void fullRecordsRefuseNewKeys() {
        prepareAttempt(key(1));
        prepareAttempt(key(2));
        assertThat(records.begin(key(3), 7, RETRY, 1))
                .containsExactly(new ExecutionAction.Refuse(RETRY, RefusalReason.RECORDS_FULL));
        assertThat(records.capacityRefusals()).isEqualTo(1);
        records.tick(600 * SECOND_NANOS);
        assertThat(records.size()).isZero();
        assertThat(records.begin(key(1), 7, RETRY, 600 * SECOND_NANOS))
                .containsExactly(new ExecutionAction.Refuse(RETRY, RefusalReason.KEY_EXPIRED));
    }

    /** Guards against recording a body that exceeds the limit, or replaying an answer without its body as complete. */
    @Example
    void longBodyIsNotRecorded() {
        KeyAttempt attempt = prepareAttempt(key(1));
        records.acknowledge(FIRST_WITNESS, new IntentAck(attempt, true), 1);
        byte[] body = new byte[RecordedAnswer.BODY_LIMIT_BYTES + 1];
        List<ExecutionAction> actions =
                new ArrayList<>(records.complete(attempt, new RecordedAnswer(200, "", body, true), 2));
        assertThat(actions).hasSize(2);
        ExecutionAction.Replay replay =
                (ExecutionAction.Replay) records.begin(key(1), 7, RETRY, 3).get(0);
        assertThat(replay.answer().complete()).isFalse();
        assertThat(replay.answer().status()).isEqualTo(200);
    }

    /**
     * Guards against a witness at its limit of records that acknowledges an intent or bars a key without recording
     * that.
     */
    @Example
    void fullWitnessRefusesIntentsAndBarsNoKey() {
        WitnessRecords witness = new WitnessRecords(FIRST_WITNESS, limits);
        for (int i = 1; i <= 2; i++) {
            assertThat(witness.handleIntent(new Intent(new KeyAttempt(key(i), 1), 7), 0)
                            .accepted())
                    .isTrue();
        }
        assertThat(witness.handleIntent(new Intent(new KeyAttempt(key(3), 1), 7), 0)
                        .accepted())
                .isFalse();
        assertThat(witness.handleQuery(new OutcomeQuery(key(4), true), 0).kind())
                .isEqualTo(OutcomeAnswer.Kind.UNKNOWN_KEY);
        assertThat(witness.capacityRefusals()).isEqualTo(2);
    }

    /** Guards against a delayed withdrawal that removes the intent of the next attempt. */
    @Example
    void lateWithdrawalKeepsTheNextIntent() {
        WitnessRecords witness = new WitnessRecords(FIRST_WITNESS, limits);
        witness.handleIntent(new Intent(new KeyAttempt(key(1), 2), 7), 0);
        witness.record(new OutcomeCopy(new KeyAttempt(key(1), 1), 7, RecordedAnswer.WITHDRAWN), 1);
        assertThat(witness.handleQuery(new OutcomeQuery(key(1), true), 2).kind())
                .isEqualTo(OutcomeAnswer.Kind.INTENT);
        witness.record(new OutcomeCopy(new KeyAttempt(key(1), 2), 7, RecordedAnswer.WITHDRAWN), 3);
        assertThat(witness.handleQuery(new OutcomeQuery(key(1), true), 4).kind())
                .isEqualTo(OutcomeAnswer.Kind.BARRED);
        assertThat(witness.handleIntent(new Intent(new KeyAttempt(key(1), 3), 7), 5)
                        .accepted())
                .isFalse();
    }
}
