package org.heatherreach.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Starts a list of VMs. */
@Parameters(commandDescription = "A lagging list of live and leaving VMs")
final class VmsCommand implements StandInCommand {
    @Parameter(names = "--host", description = "Loopback address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", description = "Port for clients; 0 for a free one")
    private int port;

    @Parameter(names = "--admin-port", description = "Port of the admin endpoint; 0 for a free one")
    private int adminPort;

    @Parameter(names = "--lag-ms", description = "Time after which a change becomes visible")
    private int lagMillis;

    @Parameter(names = "--file", description = "JSON file {\"vms\":[...]} with the first list")
    private String file;

    @Override
    @SuppressWarnings("resource")
    public String start() {
        VmListServer server = new VmListServer(host, port, adminPort, lagMillis);
        if (file != null) {
            List<VmListServer.Vm> vms = new ArrayList<>();
            try {
                Json.read(Files.readString(Path.of(file)))
                        .path("vms")
                        .forEach(node -> vms.add(Json.convert(node, VmListServer.Vm.class)));
            } catch (IOException e) {
                throw new IllegalArgumentException("cannot read " + file, e);
            }
            server.set(vms);
        }
        return "vms " + host + " port " + server.port() + " admin " + server.adminPort();
    }
}
