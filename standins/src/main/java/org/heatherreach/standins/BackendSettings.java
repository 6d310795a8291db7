package org.heatherreach.standins;

/**
 * The fixed properties of a backend stand-in. Immutable and safe for use by any thread.
 *
 * @param host the loopback address to listen on
 * @param port the port for callers, or 0 for a free one
 * @param adminPort the port of the admin endpoint, or 0 for a free one
 * @param slots the number of requests that run at a time
 * @param queueLimit the number of requests that wait for a slot; further ones are shed
 * @param connectionLimit the number of connections that are accepted
 * @param serviceMillis the service time of a request that states none
 * @param coldStartMillis how long a start slows requests down
 * @param seed the seed of the random choice of slow and failing requests
 */
public record BackendSettings(
        String host,
        int port,
        int adminPort,
        int slots,
        int queueLimit,
        int connectionLimit,
        int serviceMillis,
        int coldStartMillis,
        long seed) {
    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public BackendSettings {
        Loopback.check(host);
        if (slots < 1 || queueLimit < 0 || connectionLimit < 1 || serviceMillis < 0 || coldStartMillis < 0) {
            throw new IllegalArgumentException("slots and connections must be at least 1, the rest at least 0");
        }
    }

    /** Returns settings with free ports, room for many connections and no queue. */
    public static BackendSettings ofSlots(int slots) {
        return new BackendSettings("127.0.0.1", 0, 0, slots, 0, 10_000, 1, 0, 1);
    }
}
