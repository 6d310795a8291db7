package org.heatherreach.standins;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * The fixed limits of a key-value stand-in. Immutable and safe for use by any thread.
 *
 * @param host the loopback address to listen on
 * @param port the port for clients, or 0 for a free one
 * @param adminPort the port of the admin endpoint, or 0 for a free one
 * @param writesPerSecond the permitted rate of writes; further ones are answered with status 429
 * @param readsPerSecond the permitted rate of reads
 * @param progressMillis the interval of progress notifications on watches that ask for them
 * @param snapshot the file that keeps the data when the process ends; none if the data is kept in memory only
 */
public record StoreSettings(
        String host,
        int port,
        int adminPort,
        int writesPerSecond,
        int readsPerSecond,
        int progressMillis,
        Optional<Path> snapshot) {
    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public StoreSettings {
        Loopback.check(host);
        Objects.requireNonNull(snapshot, "snapshot");
        if (writesPerSecond < 1 || readsPerSecond < 1 || progressMillis < 1) {
            throw new IllegalArgumentException("rates and the progress interval must be at least 1");
        }
    }

    /** Creates settings of a store that keeps its data in memory only. */
    public StoreSettings(
            String host, int port, int adminPort, int writesPerSecond, int readsPerSecond, int progressMillis) {
        this(host, port, adminPort, writesPerSecond, readsPerSecond, progressMillis, Optional.empty());
    }

    /** Returns settings with free ports and the rates of design section 1.5: 300 writes and 2,000 reads a second. */
    public static StoreSettings standard() {
        return new StoreSettings("127.0.0.1", 0, 0, 300, 2000, 1000);
    }
}
