package org.heatherreach.daemon.fleet;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.IncarnationId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Provides signals that complete when a daemon is no longer a reachable member.
 *
 * <p>Invariant: at most one signal is kept per reachable member. Thread safety: safe for use by any thread.
 */
final class MemberLossSignals {
    private final MemberDirectory members;
    private final Map<IncarnationId, Sinks.Empty<Void>> signals = new ConcurrentHashMap<>();

    /** Creates the signals and listens to the directory. */
    MemberLossSignals(MemberDirectory members) {
        this.members = Objects.requireNonNull(members, "members");
        members.addListener((member, view) -> signalLost(view));
    }

    /** Returns a signal that completes when the incarnation is not reachable, at once if it is not reachable now. */
    Mono<Void> signalFor(IncarnationId incarnation) {
        Sinks.Empty<Void> signal = signals.computeIfAbsent(incarnation, id -> Sinks.empty());
        // The member may have been removed after the caller read the view and before the signal was added.
        signalLost(members.view());
        return signal.asMono();
    }

    private void signalLost(MemberView view) {
        signals.forEach((incarnation, signal) -> {
            if (!view.contains(incarnation) && signals.remove(incarnation, signal)) {
                signal.tryEmitEmpty();
            }
        });
    }
}
