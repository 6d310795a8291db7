import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small site on loopback: the store, daemons that are started with the command and the template of the deploy file, and
 * the record of the run.
 */
final class Site implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getProperty("trouble"));

    final Store store = new Store();
    final Map<String, String> bounds = new TreeMap<>();
    private final Path repository = Path.of(System.getProperty("repository"));
    private final Path folder;
    private final PrintWriter record;
    private final List<Daemon> daemons = new CopyOnWriteArrayList<>();
    private final long startNanos = System.nanoTime();

    Site() throws IOException {
        folder = Files.createTempDirectory("heatherreach-case-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record"))), true);
        // The daemons also have to end if this process is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::destroy)));
        bounds.putAll(Map.of(
                "drain", "2000ms", "config", "2000ms", "grace", "6s", "retry_budget_ratio", "0.2", "budget_slack", "62"));
    }

    /** One process of the system. */
    final class Daemon {
        final String name;
        final int front;
        final int readiness;
        final int directory;
        final int peer;
        final int metrics;
        private final Path settings;
        private Process process;

        private Daemon(String name) throws IOException {
            this.name = name;
            int[] ports = freePorts(5);
            front = ports[0];
            readiness = ports[1];
            directory = ports[2];
            peer = ports[3];
            metrics = ports[4];
            settings = folder.resolve(name + ".ini");
        }

        void start() throws IOException {
            Map<String, String> values = new TreeMap<>();
            values.put("node_name", name);
            values.put("zone", "zone-a");
            values.put("region", "region-a");
            values.put("ip", "127.0.0.1");
            values.put("listen.front", "127.0.0.1:" + front);
            values.put("listen.readiness", "127.0.0.1:" + readiness);
            values.put("listen.directory", "127.0.0.1:" + directory);
            values.put("port_range.0", String.valueOf(peer));
            values.put("port_range.1", String.valueOf(metrics));
            values.put("platform.addr", store.address());
            bounds.forEach((key, value) -> values.put("bounds." + key, value));
            String deploy = Files.readString(repository.resolve("deploy/system.toml"));
            Files.writeString(settings, fill(Files.readString(repository.resolve(find(deploy, "template"))), values));
            ProcessBuilder builder = new ProcessBuilder(find(deploy, "run").split(" "));
            builder.directory(repository.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("HEATHERREACH_CONFIG", settings.toString());
            Matcher variable = Pattern.compile("([A-Z_]+) = \"(\\{\\{[^\"]*)\"").matcher(deploy);
            while (variable.find()) {
                builder.environment().put(variable.group(1), fill(variable.group(2), values));
            }
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            log("daemon %s started, pid %d", name, process.pid());
        }

        void awaitReady(long limitMillis) {
            long endNanos = System.nanoTime() + limitMillis * 1_000_000;
            while (!isReady()) {
                if (System.nanoTime() - endNanos > 0 || !process.isAlive()) {
                    throw new IllegalStateException("daemon " + name + " is not ready:\n" + output());
                }
                sleep(100);
            }
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", readiness), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                byte[] head = socket.getInputStream().readNBytes(12);
                return new String(head, StandardCharsets.US_ASCII).endsWith(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Sends a signal: TERM, KILL, STOP, CONT or HUP. */
        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            log("daemon %s SIG%s", name, signal);
        }

        boolean awaitEnd(long limitMillis) throws InterruptedException {
            return process.waitFor(limitMillis, TimeUnit.MILLISECONDS);
        }

        private void destroy() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        String output() {
            try {
                return Files.readString(folder.resolve(name + ".log"));
            } catch (IOException e) {
                return String.valueOf(e);
            }
        }

        String metrics() {
            try (Socket socket = new Socket("127.0.0.1", metrics)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                InputStream in = socket.getInputStream();
                return new String(in.readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return String.valueOf(e);
            }
        }
    }

    Daemon daemon(String name) throws IOException {
        Daemon daemon = new Daemon(name);
        daemons.add(daemon);
        return daemon;
    }

    /** Registers a server as PROTOCOL.md describes it. */
    void register(Backend server, String state, long seq) {
        store.put(
                "servers/" + server.id,
                String.format(
                        "{\"addr\":\"%s\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"zone-a\","
                                + "\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq\":%d,\"warmup_left\":\"0ms\"}}",
                        server.address(), server.bornMillis, server.service, server.slots, state, seq));
    }

    /** Writes a configuration, whose routes are given as JSON objects of the rule set. */
    void configure(int version, List<String> rules, List<String> services) {
        List<String> clusters = services.stream()
                .map(name -> "{\"name\":\"" + name
                        + "\",\"health_path\":\"/health\",\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false}")
                .toList();
        store.put(
                "op/config",
                String.format(
                        "{\"version\":\"%08x\",\"limits\":{\"header_bytes\":16384,\"max_body_bytes\":67108864,"
                                + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"listeners\":[{\"host\":"
                                + "\"shop.example\",\"rule_set\":[%s]}],\"clusters\":[%s]}",
                        version, String.join(",", rules), String.join(",", clusters)));
    }

    static String route(String name, String kind, String service, int targetMillis, int timeoutMillis, int attempts) {
        return String.format(
                "{\"name\":\"%s\",\"kind\":\"%s\",\"target_latency\":\"%dms\",\"priority\":1,\"match\":{\"prefix\":\"/%s/\"},"
                        + "\"action\":{\"service\":\"%s\",\"timeout\":\"%dms\",\"max_attempts\":%d}}",
                name, kind, targetMillis, name, service, timeoutMillis, attempts);
    }

    synchronized void log(String format, Object... values) {
        record.printf("%8.3f ", (System.nanoTime() - startNanos) / 1e9);
        record.printf(format + "%n", values);
    }

    private static String find(String toml, String key) {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"([^\"]*)\"").matcher(toml);
        if (!matcher.find()) {
            throw new IllegalStateException("no " + key + " in the deploy file");
        }
        return matcher.group(1);
    }

    private static String fill(String template, Map<String, String> values) {
        Matcher matcher = Pattern.compile("\\{\\{([a-z_.0-9]+)}}").matcher(template);
        return matcher.replaceAll(found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
    }

    /** Returns ports below those that the operating system gives to outgoing connections. */
    static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        for (int i = 0; i < count; ) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports[i++] = socket.getLocalPort();
            } catch (BindException e) {
                // In use.
            }
        }
        return ports;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
                try {
                    daemon.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                if (System.getenv("KEEP_LOGS") == null) {
                    folder.resolve(daemon.name + ".log").toFile().delete();
                }
                daemon.settings.toFile().delete();
            }
        }
        folder.toFile().delete();
        store.close();
        record.close();
    }
}
