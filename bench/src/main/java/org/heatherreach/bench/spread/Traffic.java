package org.heatherreach.bench.spread;

/** Counters of one simulated period. Confined to one thread. */
final class Traffic {
    /** Headers of IP and UDP. */
    private static final int DATAGRAM_HEADER_BYTES = 28;
    /** Headers of IP and TCP for the segment and its acknowledgement, and the frame around the message. */
    private static final int FRAME_HEADER_BYTES = 2 * 52 + 32;

    long datagrams;
    long datagramBytes;
    long frames;
    long frameBytes;
    long storeCalls;
    long ticks;
    long tickNanos;
    long packetsHandled;
    long packetNanos;
    final long[] sentBytes;

    Traffic(int daemons) {
        sentBytes = new long[daemons];
    }

    void addDatagram(int from, int bytes) {
        datagrams++;
        datagramBytes += bytes + DATAGRAM_HEADER_BYTES;
        sentBytes[from] += bytes + DATAGRAM_HEADER_BYTES;
    }

    void addFrame(int from, int bytes) {
        frames++;
        frameBytes += bytes + FRAME_HEADER_BYTES;
        sentBytes[from] += bytes + FRAME_HEADER_BYTES;
    }

    long largestSentBytes() {
        long largest = 0;
        for (long bytes : sentBytes) {
            largest = Math.max(largest, bytes);
        }
        return largest;
    }
}
