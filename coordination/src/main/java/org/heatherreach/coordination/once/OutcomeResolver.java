package org.heatherreach.coordination.once;

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
 * Asks the executor and both witnesses of a key at once and bars the key where nothing is known of it.
 *
 * <p>Invariant: "not run" is said only if the executor barred the key, or both witnesses did, so that no later dispatch
 * can follow. Confined to one thread.
 */
public final class OutcomeResolver implements OutcomeLookup {
    /** Bounds the wait for daemons that don't answer; a peer answers within a few milliseconds. */
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Number of look-ups at a time. */
    private static final int LIMIT = 10_000;

    private final Map<ExecutionKey, Lookup> lookups = new LinkedHashMap<>();
    private long refusedForRoom;

    @Override
    public List<OnceAction> begin(
            ExecutionKey key, OptionalLong fingerprint, RequestId request, MemberView members, long nowNanos) {
        Asker asker = new Asker(request, fingerprint);
        Lookup lookup = lookups.get(key);
        if (lookup != null) {
            lookup.askers.add(asker);
            return List.of();
        }
        if (lookups.size() >= LIMIT) {
            refusedForRoom++;
            return List.of(new OnceAction.Refuse(request, RefusalReason.EXECUTOR_UNREACHABLE));
        }
        lookup = new Lookup(key, nowNanos + TIMEOUT_NANOS);
        lookup.askers.add(asker);
        lookups.put(key, lookup);
        List<OnceAction> actions = new ArrayList<>(3);
        for (IncarnationId daemon : List.of(key.issuer(), key.firstWitness(), key.secondWitness())) {
            if (members.contains(daemon)) {
                lookup.waiting.add(daemon);
                actions.add(new OnceAction.SendQuery(daemon, new OutcomeQuery(key, true)));
            }
        }
        return lookup.waiting.isEmpty() ? finish(lookup) : actions;
    }

    @Override
    public List<OnceAction> answer(IncarnationId from, OutcomeAnswer answer, long nowNanos) {
        Lookup lookup = lookups.get(answer.key());
        if (lookup == null || !lookup.waiting.remove(from)) {
            return List.of();
        }
        boolean executor = from.equals(answer.key().issuer());
        switch (answer.kind()) {
            case RECORDED -> {
                lookups.remove(answer.key());
                return replay(lookup, answer);
            }
            case BARRED -> {
                lookup.bars++;
                // The executor alone decides; a witness only together with the other one.
                if (executor || lookup.bars == 2) {
                    return finish(lookup, RefusalReason.KEY_BARRED);
                }
            }
            case RUNNING -> {
                return finish(lookup, RefusalReason.KEY_RUNNING);
            }
            case EXPIRED -> {
                lookup.expired = true;
            }
            default -> {
                // An intent, or no knowledge: only a recorded answer from another daemon helps.
            }
        }
        return lookup.waiting.isEmpty() ? finish(lookup) : List.of();
    }

    @Override
    public List<OnceAction> fail(IncarnationId to, ExecutionKey key, long nowNanos) {
        Lookup lookup = lookups.get(key);
        if (lookup == null || !lookup.waiting.remove(to) || !lookup.waiting.isEmpty()) {
            return List.of();
        }
        return finish(lookup);
    }

    @Override
    public List<OnceAction> tick(long nowNanos) {
        List<OnceAction> actions = new ArrayList<>();
        while (!lookups.isEmpty()) {
            Lookup oldest = lookups.values().iterator().next();
            if (nowNanos - oldest.deadlineNanos < 0) {
                break;
            }
            actions.addAll(finish(oldest));
        }
        return actions;
    }

    /** Returns how many look-ups were refused because too many were under way. */
    public long refusedForRoom() {
        return refusedForRoom;
    }

    private List<OnceAction> replay(Lookup lookup, OutcomeAnswer answer) {
        List<OnceAction> actions = new ArrayList<>();
        for (Asker asker : lookup.askers) {
            boolean same = asker.fingerprint.isEmpty() || asker.fingerprint.getAsLong() == answer.fingerprint();
            actions.add(
                    same
                            ? new OnceAction.Replay(
                                    asker.request, answer.answer().orElseThrow())
                            : new OnceAction.Refuse(asker.request, RefusalReason.INVALID_KEY));
        }
        return actions;
    }

    private List<OnceAction> finish(Lookup lookup) {
        return finish(lookup, lookup.expired ? RefusalReason.KEY_EXPIRED : RefusalReason.EXECUTOR_UNREACHABLE);
    }

    private List<OnceAction> finish(Lookup lookup, RefusalReason reason) {
        lookups.remove(lookup.key);
        List<OnceAction> actions = new ArrayList<>();
        lookup.askers.forEach(asker -> actions.add(new OnceAction.Refuse(asker.request, reason)));
        return actions;
    }

    private record Asker(RequestId request, OptionalLong fingerprint) {}

    private static final class Lookup {
        private final ExecutionKey key;
        private final long deadlineNanos;
        private final List<Asker> askers = new ArrayList<>(1);
        private final List<IncarnationId> waiting = new ArrayList<>(3);
        private int bars;
        private boolean expired;

        Lookup(ExecutionKey key, long deadlineNanos) {
            this.key = key;
            this.deadlineNanos = deadlineNanos;
        }
    }
}
