package org.heatherreach.standins;

import java.nio.file.Path;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Starts a key-value service. */
@Parameters(commandDescription = "A key-value service with the etcd v3 JSON gateway")
final class StoreCommand implements StandInCommand {
    @Parameter(names = "--host", description = "Loopback address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", description = "Port for clients; 0 for a free one")
    private int port;

    @Parameter(names = "--admin-port", description = "Port of the admin endpoint; 0 for a free one")
    private int adminPort;

    @Parameter(names = "--writes", description = "Permitted writes per second")
    private int writesPerSecond = 300;

    @Parameter(names = "--reads", description = "Permitted reads per second")
    private int readsPerSecond = 2000;

    @Parameter(names = "--progress-ms", description = "Interval of progress notifications on watches")
    private int progressMillis = 1000;

    @Parameter(names = "--snapshot", description = "File that keeps the data when the process ends")
    private Path snapshot;

    @Override
    @SuppressWarnings("resource")
    public String start() {
        StoreServer server = new StoreServer(new StoreSettings(
                host, port, adminPort, writesPerSecond, readsPerSecond, progressMillis, Optional.ofNullable(snapshot)));
        return "store " + host + " port " + server.port() + " admin " + server.adminPort();
    }
}
