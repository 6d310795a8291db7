package org.heatherreach.bench.trial;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.daemon.DaemonMain;
import org.heatherreach.standins.StandInMain;
import org.heatherreach.tools.ToolMain;

/**
 * The processes of one small site on loopback: a key-value service, backend servers of two services, and daemons in
 * three zones. Confined to one thread. Closing it ends every process that it started.
 */
public final class TrialFleet implements AutoCloseable {
    private static final int READY_MILLIS = 20_000;
    private static final String HOST = "127.0.0.1";

    private final Path directory;
    private final List<ProgramProcess> processes = new ArrayList<>();
    private final Map<String, List<Backend>> backendsByService = new LinkedHashMap<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private int storePort;

    /**
     * A backend server of the trial.
     *
     * @param name its name
     * @param zone its zone
     * @param port its port for daemons
     * @param adminPort the port that switches its faults
     * @param process its process
     */
    public record Backend(String name, String zone, int port, int adminPort, ProgramProcess process) {}

    /**
     * A daemon of the trial.
     *
     * @param name its name
     * @param zone its zone
     * @param port its port for callers
     * @param process its process
     */
    public record Daemon(String name, String zone, int port, ProgramProcess process) {
        /** Returns the address for callers. */
        public String address() {
            return HOST + ':' + port;
        }
    }

    /**
     * Creates a fleet without processes.
     *
     * @throws IOException if the directory can't be made
     */
    public TrialFleet(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /**
     * Starts the key-value service.
     *
     * @throws IOException if it does not get ready
     */
    public ProgramProcess startStore() throws IOException {
        storePort = freePort();
        ProgramProcess store =
                start("store", StandInMain.class, List.of("store", "--port", Integer.toString(storePort)));
        store.awaitReady(() -> accepts(storePort), READY_MILLIS);
        return store;
    }

    /**
     * Starts the backend servers of a service, spread over zones.
     *
     * @throws IOException if one does not get ready
     */
    public void startBackends(String service, int count, int slots, int connections) throws IOException {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int port = freePort();
            int adminPort = freePort();
            String name = service + '-' + (i + 1);
            ProgramProcess process = start(
                    name,
                    StandInMain.class,
                    List.of(
                            "backend",
                            "--port",
                            Integer.toString(port),
                            "--admin-port",
                            Integer.toString(adminPort),
                            "--slots",
                            Integer.toString(slots),
                            "--queue",
                            "4",
                            "--connections",
                            Integer.toString(connections)));
            backends.add(new Backend(name, "zone-" + (i % 3 + 1), port, adminPort, process));
        }
        backendsByService.put(service, backends);
        for (Backend backend : backends) {
            backend.process().awaitReady(() -> accepts(backend.port()), READY_MILLIS);
        }
    }

    /**
     * Starts the daemons, spread over three zones.
     *
     * @throws IOException if one does not get ready
     */
    public void startDaemons(int count, int slots) throws IOException {
        List<Integer> ports = freePorts(count);
        List<Integer> peerPorts = freePorts(count);
        for (int i = 0; i < count; i++) {
            String name = "daemon-" + (i + 1);
            Path settings = directory.resolve(name + ".ini");
            Files.writeString(settings, settingsOf(i, ports.get(i), peerPorts, slots));
            ProgramProcess process = start(name, DaemonMain.class, List.of("--config", settings.toString()));
            daemons.add(new Daemon(name, "zone-" + (i % 3 + 1), ports.get(i), process));
        }
        for (Daemon daemon : daemons) {
            daemon.process().awaitReady(() -> accepts(daemon.port()), READY_MILLIS);
        }
    }

    /**
     * Applies a table for the backend servers with the operators' tool and waits until it is in force everywhere.
     *
     * @throws IOException if the tool does not confirm that
     */
    public void applyTable(int slots, int connections) throws IOException {
        Path table = directory.resolve("table.csv");
        StringBuilder csv = new StringBuilder("row,weight,guarantee_percent,queue_limit,timeout_ms,floor_percent,slots,"
                + "connections,retry_percent\n");
        for (String service : backendsByService.keySet()) {
            csv.append("service:").append(service).append(",,,,,50,").append(slots);
            csv.append(',').append(connections).append(",10\n");
        }
        csv.append("rank:urgent,1,50,1000,5000,,,,\nrank:standard,1,20,1000,10000,,,,\n");
        csv.append("rank:bulk,1,10,1000,30000,,,,\n");
        Files.writeString(table, csv);
        ProgramProcess tool = start(
                "tool",
                ToolMain.class,
                List.of(
                        "apply",
                        table.toString(),
                        "--base",
                        "0",
                        "--store",
                        HOST + ':' + storePort,
                        "--daemons",
                        String.join(",", daemons.stream().map(Daemon::address).toList())));
        if (!tool.awaitSuccess(READY_MILLIS)) {
            throw new IOException("the table was not applied: " + tool.output());
        }
    }

    /** Returns the port of the key-value service. */
    public int storePort() {
        return storePort;
    }

    /** Returns the daemons in the order in which they were started. */
    public List<Daemon> daemons() {
        return List.copyOf(daemons);
    }

    /** Returns the backend servers of a service. */
    public List<Backend> backends(String service) {
        return List.copyOf(backendsByService.get(service));
    }

    /** Ends every process. */
    @Override
    public void close() {
        processes.forEach(ProgramProcess::close);
    }

    private ProgramProcess start(String name, Class<?> mainClass, List<String> arguments) throws IOException {
        ProgramProcess process = new ProgramProcess(name, directory, mainClass, arguments);
        processes.add(process);
        return process;
    }

    private String settingsOf(int index, int port, List<Integer> peerPorts, int slots) {
        StringBuilder text = new StringBuilder();
        text.append("[daemon]\nname = daemon-").append(index + 1);
        text.append("\nzone = zone-").append(index % 3 + 1);
        text.append("\n[listen]\naddress = ").append(HOST).append(':').append(port);
        text.append("\nio_threads = 2\n[addresses]\nkeep_ms = 1000\n[log]\nformat = json\n");
        text.append("[peer]\naddress = ").append(HOST).append(':').append(peerPorts.get(index));
        text.append("\nseeds = ")
                .append(String.join(
                        ", ",
                        peerPorts.stream()
                                .map(peerPort -> HOST + ':' + peerPort)
                                .toList()));
        text.append("\n[store]\nendpoints = ")
                .append(HOST)
                .append(':')
                .append(storePort)
                .append('\n');
        backendsByService.forEach((service, backends) -> {
            text.append("[service:").append(service).append("]\nslots = ").append(slots);
            text.append("\nservers = ");
            text.append(String.join(
                    ", ",
                    backends.stream()
                            .map(backend -> backend.name() + '@' + HOST + ':' + backend.port() + '/' + backend.zone())
                            .toList()));
            text.append('\n');
        });
        return text.toString();
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ports.add(freePort());
        }
        return ports;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static boolean accepts(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), 200);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
