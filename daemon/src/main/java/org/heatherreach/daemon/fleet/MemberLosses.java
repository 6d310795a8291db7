package org.heatherreach.daemon.fleet;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.IncarnationId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Tells who waits for another daemon that it is no longer a reachable member.
 *
 * <p>Invariant: at most one signal is kept per reachable member. Thread safety: safe for use by any thread.
 */
final class MemberLosses {
    private final MemberDirectory members;
    private final Map<IncarnationId, Sinks.Empty<Void>> signals = new ConcurrentHashMap<>();

    /** Creates the signals and listens to the directory. */
    MemberLosses(MemberDirectory members) {
        this.members = Objects.requireNonNull(members, "members");
        members.addListener((member, view) -> signalLost(view));
    }

    /** Returns a signal that completes when the incarnation is not reachable, at once if it is not reachable now. */
    Mono<Void> of(IncarnationId incarnation) {
        Sinks.Empty<Void> signal = signals.computeIfAbsent(incarnation, id -> Sinks.empty());
        // The member may have gone between the caller's look at the view and the entry.
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
