package org.heatherreach.daemon.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.owner.OwnerMap;
import org.heatherreach.coordination.owner.PartId;
import org.heatherreach.daemon.DaemonMain;
import org.heatherreach.standins.ResponseBody;
import org.heatherreach.standins.StandInMain;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.tools.ToolMain;

/** A store, backend servers and daemons, each a process on loopback. Requests may be sent by any thread. */
final class ProcessFleet implements AutoCloseable {
    static final String SERVICE = "certdesk";
    static final int SLOTS = 2;

    private static final String HOST = "127.0.0.1";
    private static final long AWAIT_SECONDS = 40;
    private static final int SERVERS = 2;
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Below the range of ephemeral ports, so that no outgoing connection takes the port of a stopped process. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(15_000 + (int) (ProcessHandle.current().pid() % 250) * 64);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final Path directory;
    private final List<Process> processes = new ArrayList<>();
    private final List<Process> daemons = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final List<Integer> serverPorts = new ArrayList<>();
    private final List<Integer> adminPorts = new ArrayList<>();
    private final int storePort = freePort();
    private Process store;

    /** How a request ended for its caller. */
    enum Kind {
        RIGHT,
        WRONG,
        NOT_RUN,
        UNKNOWN,
        BROKEN
    }

    /** The end of a request that a daemon was asked to run. */
    record Answer(int daemon, Kind kind, String reason, String requestId) {}

    /** A condition that may fail while a process does not answer yet. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Starts every process and applies a first table with the operators' tool. */
    ProcessFleet(int count) throws Exception {
        directory = Files.createTempDirectory("process-fleet");
        startStore();
        for (int i = 0; i < SERVERS; i++) {
            serverPorts.add(freePort());
            adminPorts.add(freePort());
            processes.add(start(
                    "s" + i,
                    StandInMain.class,
                    "backend --queue 8 --slots " + SLOTS + " --port " + serverPorts.get(i) + " --admin-port "
                            + adminPorts.get(i)));
        }
        IntStream.range(0, count).forEach(i -> peerPorts.add(freePort()));
        for (int i = 0; i < count; i++) {
            startDaemon();
        }
        await("every daemon knows the others", () -> everyDaemon(i -> members(i) == count));
        int code = tool("apply " + table("first", "") + " --base 0");
        if (code != 0) {
            throw new AssertionError("the first table was not applied: " + code + ", see " + directory);
        }
    }

    /** Starts the store, with the data that it had before. */
    void startStore() throws IOException {
        String arguments = "store --port " + storePort + " --snapshot " + directory.resolve("store.json");
        store = start("store", StandInMain.class, arguments);
        processes.add(store);
    }

    void killStore() throws InterruptedException {
        store.destroyForcibly().waitFor();
    }

    /** Starts one more daemon and returns its number. */
    int startDaemon() throws IOException {
        int index = daemons.size();
        ports.add(freePort());
        if (index == peerPorts.size()) {
            peerPorts.add(freePort());
        }
        List<String> servers = IntStream.range(0, SERVERS)
                .mapToObj(i -> "s" + i + '@' + HOST + ':' + serverPorts.get(i) + "/z" + i)
                .toList();
        String seeds = String.join(
                ", ", peerPorts.stream().map(port -> HOST + ':' + port).toList());
        Path settings = Files.writeString(
                directory.resolve("d" + index + ".ini"),
                String.join(
                        "\n",
                        "[daemon]\nname = d" + index + "\nzone = z" + index % 3,
                        "[listen]\naddress = " + HOST + ':' + ports.get(index) + "\nio_threads = 1",
                        "[addresses]\nkeep_ms = 2000",
                        "[peer]\naddress = " + HOST + ':' + peerPorts.get(index) + "\nseeds = " + seeds,
                        "[store]\nendpoints = " + HOST + ':' + storePort,
                        "[service:" + SERVICE + "]\nslots = " + SLOTS + "\nservers = " + String.join(", ", servers),
                        ""));
        daemons.add(start("d" + index, DaemonMain.class, "--config " + settings));
        processes.add(daemons.get(index));
        return index;
    }

    /** Writes a table with additional rows and returns its file. */
    Path table(String name, String rows) throws IOException {
        return Files.writeString(
                directory.resolve(name + ".csv"),
                "row,weight,guarantee_percent,queue_limit,timeout_ms,floor_percent,slots,connections,retry_percent,"
                        + "service,rank\nservice:" + SERVICE + ",,,,,50," + SLOTS + ",300,10,,\n"
                        + "rank:urgent,1,0,1000,20000,,,,,,\nrank:standard,1,0,1000,20000,,,,,,\n"
                        + "rank:bulk,1,0,1000,30000,,,,,,\n" + rows);
    }

    /** Runs the operators' tool to its end and returns its exit code. */
    int tool(String arguments) throws Exception {
        String addresses =
                String.join(",", ports.stream().map(port -> HOST + ':' + port).toList());
        Process tool = start(
                "tool",
                ToolMain.class,
                arguments,
                Map.of("HEATHERREACH_STORE", HOST + ':' + storePort, "HEATHERREACH_DAEMONS", addresses));
        processes.add(tool);
        if (!tool.waitFor(AWAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("the tool does not end: " + arguments);
        }
        return tool.exitValue();
    }

    /** Returns what a daemon logged, a document each line; fails on a line that is none. */
    List<JsonNode> log(int daemon) throws IOException {
        List<JsonNode> documents = new ArrayList<>();
        for (String line : Files.readAllLines(directory.resolve("d" + daemon + ".log"))) {
            documents.add(JSON.readTree(line));
        }
        return documents;
    }

    /** Returns what the tool printed in all its runs. */
    String toolOutput() throws IOException {
        return Files.readString(directory.resolve("tool.log"));
    }

    /** Returns the daemon that owns the only part of the service. */
    int owner() {
        RegionId region = new RegionId("default");
        OwnerMap owners = new OwnerMap();
        for (int i = 0; i < daemons.size(); i++) {
            owners.change(new Member(
                    new DaemonId("d" + i),
                    new IncarnationId(i + 1),
                    0,
                    MemberState.ALIVE,
                    new ZoneId("z" + i),
                    region,
                    new MemberAddress(HOST, peerPorts.get(i)),
                    ports.get(i),
                    0));
        }
        Member owner =
                owners.owner(new PartId(region, new ServiceId(SERVICE), 0)).orElseThrow();
        return Integer.parseInt(owner.daemon().value().substring(1));
    }

    /** Returns how many daemons were started. */
    int size() {
        return daemons.size();
    }

    /** Returns the process of a daemon. */
    Process daemon(int daemon) {
        return daemons.get(daemon);
    }

    /** Sends a signal to a daemon. */
    void signal(int daemon, String signal) throws Exception {
        new ProcessBuilder(
                        "kill", "-" + signal, Long.toString(daemons.get(daemon).pid()))
                .start()
                .waitFor();
    }

    int members(int daemon) throws Exception {
        return get(ports.get(daemon), "/heatherreach/status").get("members").size();
    }

    String state(int daemon) throws Exception {
        return get(ports.get(daemon), "/heatherreach/status").get("state").asText();
    }

    long tableVersion(int daemon) throws Exception {
        return get(ports.get(daemon), "/heatherreach/status")
                .get("tableVersion")
                .asLong();
    }

    /** Returns how many slots of all servers are in use. */
    int slotsInUse() throws Exception {
        int sum = 0;
        for (int port : adminPorts) {
            sum += get(port, "/state").get("slotsInUse").asInt();
        }
        return sum;
    }

    /** Returns how often a key ran on all servers. */
    int runs(String key) throws Exception {
        int sum = 0;
        for (int port : adminPorts) {
            sum += get(port, "/runs").path(key).asInt();
        }
        return sum;
    }

    String issueKey(int daemon) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(ports.get(daemon), "/heatherreach/keys"))
                .POST(HttpRequest.BodyPublishers.ofString("{\"count\":1}"))
                .build();
        String body = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return JSON.readTree(body).get("keys").get(0).asText();
    }

    /** Sends a look-up by its path alone if the table routes it, else with the name of the service. */
    Answer look(int daemon, String path) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(ports.get(daemon), path));
        return send(daemon, path.startsWith("/routed") ? request : request.header("Heatherreach-Service", SERVICE));
    }

    /** Sends a booking; each repetition with the same key and time is the same request. */
    Answer book(int daemon, String key, int serviceMillis) {
        return send(
                daemon,
                HttpRequest.newBuilder(uri(ports.get(daemon), "/releases?service_ms=" + serviceMillis))
                        .header("Heatherreach-Service", SERVICE)
                        .header("Heatherreach-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString(key)));
    }

    private Answer send(int daemon, HttpRequest.Builder builder) {
        HttpRequest request = builder.timeout(Duration.ofSeconds(AWAIT_SECONDS)).build();
        String key = request.headers().firstValue("Heatherreach-Key").orElse("");
        String target = request.uri().getRawPath() + '?' + request.uri().getRawQuery();
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            String id = response.headers().firstValue("Heatherreach-Request-Id").orElse("");
            String reason = response.headers().firstValue("Heatherreach-Reason").orElse("");
            String outcome =
                    response.headers().firstValue("Heatherreach-Outcome").orElse("missing");
            byte[] expected =
                    ResponseBody.of(request.method(), target, key.getBytes(StandardCharsets.UTF_8), sizeBytes(target));
            boolean right = response.statusCode() == 200 && Arrays.equals(response.body(), expected);
            return switch (outcome) {
                case "backend" ->
                    new Answer(daemon, right ? Kind.RIGHT : Kind.WRONG, "status " + response.statusCode(), id);
                case "not-run" -> new Answer(daemon, Kind.NOT_RUN, reason, id);
                case "unknown" -> new Answer(daemon, Kind.UNKNOWN, reason, id);
                default -> new Answer(daemon, Kind.WRONG, "outcome " + outcome, id);
            };
        } catch (IOException e) {
            return new Answer(daemon, Kind.BROKEN, e.toString(), "");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int sizeBytes(String target) {
        int index = target.indexOf("&size=");
        return index < 0 ? 128 : Integer.parseInt(target.substring(index + "&size=".length()));
    }

    private JsonNode get(int port, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(port, path))
                .timeout(Duration.ofSeconds(5))
                .build();
        return JSON.readTree(
                client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private static URI uri(int port, String path) {
        return URI.create("http://" + HOST + ':' + port + path);
    }

    /** A condition on one daemon. */
    interface DaemonCondition {
        boolean holds(int daemon) throws Exception;
    }

    /** Returns whether the condition holds at every daemon that was started. */
    boolean everyDaemon(DaemonCondition condition) throws Exception {
        boolean holds = true;
        for (int i = 0; i < daemons.size(); i++) {
            holds &= condition.holds(i);
        }
        return holds;
    }

    /** Waits for a condition; fails only after a time that is far beyond every bound of the design. */
    void await(String what, Condition condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (true) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (IOException e) {
                // The process doesn't listen yet.
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError("waited in vain until " + what + ", see " + directory);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }

    private Process start(String name, Class<?> mainClass, String arguments) throws IOException {
        return start(name, mainClass, arguments, Map.of());
    }

    private Process start(String name, Class<?> mainClass, String arguments, Map<String, String> environment)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                mainClass.getName()));
        command.addAll(List.of(arguments.split(" ")));
        Path log = directory.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        return builder.start();
    }

    private static int freePort() {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use; the next one may be free.
            }
        }
    }
}
