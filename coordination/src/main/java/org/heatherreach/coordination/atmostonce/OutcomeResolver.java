package org.heatherreach.coordination.atmostonce;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * Queries the executor and both witnesses of a key in parallel, and has each of them bar the key if it knows of no
 * dispatch.
 *
 * <p>Invariant: the outcome is "not run" only if the executor or both witnesses have barred the key, so that no
 * dispatch can follow. Confined to one thread.
 */
public final class OutcomeResolver implements OutcomeLookup {
    /** Limits the wait for daemons that do not answer; a peer answers within a few milliseconds. */
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Maximum number of concurrent look-ups. */
    private static final int LOOKUP_LIMIT = 10_000;

    private final Map<ExecutionKey, Lookup> lookups = new LinkedHashMap<>();
    private long capacityRefusals;

    @Override
    public List<ExecutionAction> begin(
            ExecutionKey key, OptionalLong fingerprint, RequestId request, MemberView members, long nowNanos) {
        PendingRequest pendingRequest = new PendingRequest(request, fingerprint);
        Lookup lookup = lookups.get(key);
        if (lookup != null) {
            lookup.pendingRequests.add(pendingRequest);
            return List.of();
        }
        if (lookups.size() >= LOOKUP_LIMIT) {
            capacityRefusals++;
            return List.of(new ExecutionAction.Refuse(request, RefusalReason.EXECUTOR_UNREACHABLE));
        }
        lookup = new Lookup(key, nowNanos + TIMEOUT_NANOS);
        lookup.pendingRequests.add(pendingRequest);
        lookups.put(key, lookup);
        List<ExecutionAction> actions = new ArrayList<>(3);
        for (IncarnationId daemon : List.of(key.issuer(), key.firstWitness(), key.secondWitness())) {
            if (members.contains(daemon)) {
                lookup.unansweredDaemons.add(daemon);
                actions.add(new ExecutionAction.SendQuery(daemon, new OutcomeQuery(key, true)));
            }
        }
        return lookup.unansweredDaemons.isEmpty() ? refuseAll(lookup) : actions;
    }

    @Override
    public List<ExecutionAction> handleAnswer(IncarnationId from, OutcomeAnswer answer, long nowNanos) {
        Lookup lookup = lookups.get(answer.key());
        if (lookup == null || !lookup.unansweredDaemons.remove(from)) {
            return List.of();
        }
        boolean fromExecutor = from.equals(answer.key().issuer());
        switch (answer.kind()) {
            case RECORDED -> {
                lookups.remove(answer.key());
                return replay(lookup, answer);
            }
            case BARRED -> {
                lookup.barredAnswers++;
                // One answer of the executor suffices; without it, both witnesses must have barred the key.
                if (fromExecutor || lookup.barredAnswers == 2) {
                    return refuseAll(lookup, RefusalReason.KEY_BARRED);
                }
            }
            case RUNNING -> {
                return refuseAll(lookup, RefusalReason.KEY_RUNNING);
            }
            case EXPIRED -> {
                lookup.expiredAnswer = true;
            }
            default -> {
                // An intent or an unknown key decides nothing, so the answers of the other daemons are awaited.
            }
        }
        return lookup.unansweredDaemons.isEmpty() ? refuseAll(lookup) : List.of();
    }

    @Override
    public List<ExecutionAction> handleQueryFailure(IncarnationId to, ExecutionKey key, long nowNanos) {
        Lookup lookup = lookups.get(key);
        if (lookup == null || !lookup.unansweredDaemons.remove(to) || !lookup.unansweredDaemons.isEmpty()) {
            return List.of();
        }
        return refuseAll(lookup);
    }

    @Override
    public List<ExecutionAction> tick(long nowNanos) {
        List<ExecutionAction> actions = new ArrayList<>();
        while (!lookups.isEmpty()) {
            Lookup oldest = lookups.values().iterator().next();
            if (nowNanos - oldest.deadlineNanos < 0) {
                break;
            }
            actions.addAll(refuseAll(oldest));
        }
        return actions;
    }

    /** Returns how many requests were refused because the limit of concurrent look-ups was reached. */
    public long capacityRefusals() {
        return capacityRefusals;
    }

    private List<ExecutionAction> replay(Lookup lookup, OutcomeAnswer answer) {
        List<ExecutionAction> actions = new ArrayList<>();
        for (PendingRequest pendingRequest : lookup.pendingRequests) {
            boolean fingerprintMatches = pendingRequest.fingerprint.isEmpty()
                    || pendingRequest.fingerprint.getAsLong() == answer.fingerprint();
            actions.add(
                    fingerprintMatches
                            ? new ExecutionAction.Replay(
                                    pendingRequest.request, answer.answer().orElseThrow())
                            : new ExecutionAction.Refuse(pendingRequest.request, RefusalReason.INVALID_KEY));
        }
        return actions;
    }

    private List<ExecutionAction> refuseAll(Lookup lookup) {
        return refuseAll(lookup, lookup.expiredAnswer ? RefusalReason.KEY_EXPIRED : RefusalReason.EXECUTOR_UNREACHABLE);
    }

    private List<ExecutionAction> refuseAll(Lookup lookup, RefusalReason reason) {
        lookups.remove(lookup.key);
        List<ExecutionAction> actions = new ArrayList<>();
        lookup.pendingRequests.forEach(
                pendingRequest -> actions.add(new ExecutionAction.Refuse(pendingRequest.request, reason)));
        return actions;
    }

    private record PendingRequest(RequestId request, OptionalLong fingerprint) {}

    private static final class Lookup {
        private final ExecutionKey key;
        private final long deadlineNanos;
        /** The requests that receive the result of this look-up. */
        private final List<PendingRequest> pendingRequests = new ArrayList<>(1);

        /** The daemons that have neither answered nor failed. */
        private final List<IncarnationId> unansweredDaemons = new ArrayList<>(3);

        /** Number of daemons that answered that they have barred the key. */
        private int barredAnswers;

        /** Whether a daemon answered that the key has expired. */
        private boolean expiredAnswer;

        Lookup(ExecutionKey key, long deadlineNanos) {
            this.key = key;
            this.deadlineNanos = deadlineNanos;
        }
    }
}
