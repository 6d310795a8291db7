package org.heatherreach.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Starts a backend server. */
@Parameters(commandDescription = "A backend server with slots and switchable faults")
final class BackendCommand implements StandInCommand {
    @Parameter(names = "--host", description = "Loopback address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", description = "Port for callers; 0 for a free one")
    private int port;

    @Parameter(names = "--admin-port", description = "Port of the admin endpoint; 0 for a free one")
    private int adminPort;

    @Parameter(names = "--slots", description = "Requests that run at a time")
    private int slots = 3;

    @Parameter(names = "--queue", description = "Requests that wait for a slot; further ones are shed")
    private int queueLimit;

    @Parameter(names = "--connections", description = "Connections that are accepted")
    private int connectionLimit = 330;

    @Parameter(names = "--service-ms", description = "Service time of a request that states none")
    private int serviceMillis = 5;

    @Parameter(names = "--cold-start-ms", description = "How long requests are slow after a start")
    private int coldStartMillis;

    @Parameter(names = "--seed", description = "Seed of the random choice of failing requests")
    private long seed = 1;

    @Override
    @SuppressWarnings("resource")
    public String start() {
        BackendServer server = new BackendServer(new BackendSettings(
                host, port, adminPort, slots, queueLimit, connectionLimit, serviceMillis, coldStartMillis, seed));
        return "backend " + host + " port " + server.port() + " admin " + server.adminPort();
    }
}
