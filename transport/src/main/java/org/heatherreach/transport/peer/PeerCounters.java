package org.heatherreach.transport.peer;

import java.util.EnumMap;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of the frames and packets between daemons. Safe for use by any thread. */
public final class PeerCounters {
    private final Map<PeerFailure, Counter> failures = new EnumMap<>(PeerFailure.class);
    private final Counter sentBytes;
    private final Counter receivedBytes;
    private final Counter refusedFrames;
    private final Counter malformedPackets;

    /** Creates the counters and registers them. */
    public PeerCounters(MeterRegistry registry) {
        for (PeerFailure failure : PeerFailure.values()) {
            failures.put(failure, registry.counter("heatherreach.peer.failures", "reason", failure.label()));
        }
        sentBytes = registry.counter("heatherreach.peer.bytes", "direction", "sent");
        receivedBytes = registry.counter("heatherreach.peer.bytes", "direction", "received");
        refusedFrames = registry.counter("heatherreach.peer.frames.refused", "reason", "wrong-incarnation");
        malformedPackets = registry.counter("heatherreach.peer.packets.malformed");
    }

    void countFailure(PeerFailure failure) {
        failures.get(failure).increment();
    }

    void countSent(int sizeBytes) {
        sentBytes.increment(sizeBytes);
    }

    void countReceived(int sizeBytes) {
        receivedBytes.increment(sizeBytes);
    }

    void countRefusedFrame() {
        refusedFrames.increment();
    }

    void countMalformedPacket() {
        malformedPackets.increment();
    }
}
