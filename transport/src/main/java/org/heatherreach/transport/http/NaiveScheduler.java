package org.heatherreach.transport.http;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * Dispatches each request immediately to a random server, without slots, queues or ranks; the baseline of comparisons.
 * Safe for use by any thread if the random generator is.
 */
public final class NaiveScheduler implements RequestScheduler {
    private final RandomGenerator random;
    private final Map<ServiceId, List<BackendServer>> servers = new ConcurrentHashMap<>();

    /** Creates a scheduler; the generator must be safe for use by any thread. */
    public NaiveScheduler(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public boolean submit(Submission submission) {
        List<BackendServer> candidates = servers.getOrDefault(submission.service(), List.of());
        submission
                .callback()
                .accept(
                        candidates.isEmpty()
                                ? new ScheduleDecision.Refuse(RefusalReason.NO_SERVER, 0)
                                : new ScheduleDecision.Dispatch(candidates.get(random.nextInt(candidates.size()))));
        return true;
    }

    @Override
    public void complete(long ticket, ExchangeResult result) {}

    @Override
    public void cancel(long ticket) {}

    @Override
    public void changeServers(ServiceId service, List<BackendServer> newServers) {
        servers.put(service, List.copyOf(newServers));
    }

    @Override
    public void close() {}
}
