package org.heatherreach.coordination.crash;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * The suspects and refused requests of one service that one daemon knows.
 *
 * <p>For each crash, a rendezvous hash over its suspects assigns every server to one of them, and a suspect is sent
 * only to its servers. So two suspects of one crash never share a server, whichever daemons send them and however the
 * server lists of the daemons differ. This holds even if one daemon knows of a clearing and another does not yet. A
 * suspect without any server has to wait until another suspect is cleared.
 *
 * <p>Confined to one duty thread.
 */
public final class SuspectList implements CrashGuard {
    private static final int MAX_VALID_MILLIS = (int) TimeUnit.NANOSECONDS.toMillis(CrashLog.VALID_NANOS);

    private final ServiceId service;
    private final Map<Long, Map<Fingerprint, Long>> deadlinesByCrash = new HashMap<>();
    private final Map<Fingerprint, Long> refusedDeadlines = new HashMap<>();

    /** Creates an empty list for a service. */
    public SuspectList(ServiceId service) {
        this.service = Objects.requireNonNull(service, "service");
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalArgumentException if the update is for another service
     */
    @Override
    public void apply(SuspectUpdate update, long nowNanos) {
        if (!service.equals(update.service())) {
            throw new IllegalArgumentException("update for service " + update.service() + ", expected " + service);
        }
        for (Suspect suspect : update.suspects()) {
            Fingerprint request = suspect.fingerprint();
            if (suspect.isCleared()) {
                refusedDeadlines.remove(request);
                removeSuspect(request);
                continue;
            }
            long validMillis = Math.min(MAX_VALID_MILLIS, suspect.validMillis());
            long deadline = nowNanos + TimeUnit.MILLISECONDS.toNanos(validMillis);
            if (suspect.refused()) {
                removeSuspect(request);
                refusedDeadlines.put(request, deadline);
            } else if (!refusedDeadlines.containsKey(request)) {
                deadlinesByCrash
                        .computeIfAbsent(suspect.crash(), key -> new TreeMap<>())
                        .put(request, deadline);
            }
        }
        expire(nowNanos);
    }

    @Override
    public boolean refuses(Fingerprint request, long nowNanos) {
        Long deadline = refusedDeadlines.get(request);
        return deadline != null && nowNanos - deadline < 0;
    }

    @Override
    public boolean mayPlace(Fingerprint request, ServerId server, long nowNanos) {
        if (deadlinesByCrash.isEmpty()) {
            return true;
        }
        expire(nowNanos);
        byte[] serverName = server.value().getBytes(StandardCharsets.UTF_8);
        for (Map.Entry<Long, Map<Fingerprint, Long>> entry : deadlinesByCrash.entrySet()) {
            if (entry.getValue().containsKey(request)
                    && !request.equals(assignedSuspect(serverName, entry.getKey(), entry.getValue()))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public Optional<CrashReport> noteCrash(ServerId server, List<Fingerprint> inFlight, long nowNanos) {
        return inFlight.isEmpty() ? Optional.empty() : Optional.of(new CrashReport(service, server, inFlight));
    }

    @Override
    public Optional<SuspectUpdate> noteCompletion(Fingerprint request, long nowNanos) {
        boolean refused = refusedDeadlines.remove(request) != null;
        boolean suspected = removeSuspect(request);
        return refused || suspected
                ? Optional.of(new SuspectUpdate(service, List.of(Suspect.cleared(request))))
                : Optional.empty();
    }

    /** Returns whether a request is a suspect and not refused. */
    public boolean isSuspect(Fingerprint request, long nowNanos) {
        expire(nowNanos);
        return deadlinesByCrash.values().stream().anyMatch(suspects -> suspects.containsKey(request));
    }

    /** Returns the suspect of a crash that the server is assigned to. */
    private static Fingerprint assignedSuspect(byte[] serverName, long crash, Map<Fingerprint, Long> suspects) {
        Fingerprint assigned = null;
        long bestScore = 0;
        long serverHash = LongHashFunction.xx3(crash).hashBytes(serverName);
        for (Fingerprint suspect : suspects.keySet()) {
            long score = LongHashFunction.xx3(serverHash).hashLong(suspect.value());
            // The suspects are sorted, so that all daemons resolve equal scores alike.
            if (assigned == null || score > bestScore) {
                assigned = suspect;
                bestScore = score;
            }
        }
        return assigned;
    }

    private boolean removeSuspect(Fingerprint request) {
        boolean removed = false;
        for (Iterator<Map<Fingerprint, Long>> it = deadlinesByCrash.values().iterator(); it.hasNext(); ) {
            Map<Fingerprint, Long> suspects = it.next();
            removed |= suspects.remove(request) != null;
            if (suspects.isEmpty()) {
                it.remove();
            }
        }
        return removed;
    }

    private void expire(long nowNanos) {
        refusedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
        deadlinesByCrash.values().removeIf(suspects -> {
            suspects.values().removeIf(deadline -> nowNanos - deadline >= 0);
            return suspects.isEmpty();
        });
    }
}
