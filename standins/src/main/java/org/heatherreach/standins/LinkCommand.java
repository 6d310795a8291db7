package org.heatherreach.standins;

import java.net.InetSocketAddress;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Starts a link. */
@Parameters(commandDescription = "A TCP relay that cuts, delays, resets and half-closes")
final class LinkCommand implements StandInCommand {
    @Parameter(names = "--host", description = "Loopback address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", description = "Port of the relay; 0 for a free one")
    private int port;

    @Parameter(names = "--admin-port", description = "Port of the admin endpoint; 0 for a free one")
    private int adminPort;

    @Parameter(names = "--target", description = "Address to relay to, as HOST:PORT", required = true)
    private String target;

    @Override
    @SuppressWarnings("resource")
    public String start() {
        int colon = target.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("--target " + target + " is not HOST:PORT");
        }
        LinkRelay relay = new LinkRelay(
                host,
                port,
                adminPort,
                new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))));
        return "link " + host + " port " + relay.port() + " admin " + relay.adminPort();
    }
}
