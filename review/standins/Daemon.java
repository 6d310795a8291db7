import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A daemon of the project as a process of its own, started with the command of deploy/system.toml and the settings of
 * deploy/daemon.ini, on free ports of 127.0.0.1. Signals go only to the process that this object started.
 */
final class Daemon {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)\\}\\}");

    private final Record record;
    private final Path root;
    private final Path directory;
    private final Path settings;
    final String name;
    final int frontPort = Net.freePort();
    private final int readinessPort = Net.freePort();
    private volatile Process process;
    /** When the process last started or got a signal. */
    private volatile long disturbedNanos;

    Daemon(Record record, Path root, Path directory, String name, String zone, int storePort) throws IOException {
        this.record = record;
        this.root = root;
        this.directory = directory;
        this.name = name;
        Map<String, String> values = Map.ofEntries(
                Map.entry("node_name", name),
                Map.entry("zone", zone),
                Map.entry("region", "region-1"),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("listen.front", "127.0.0.1:" + frontPort),
                Map.entry("listen.readiness", "127.0.0.1:" + readinessPort),
                Map.entry("listen.directory", "127.0.0.1:" + Net.freePort()),
                Map.entry("port_range.0", "" + Net.freePort()),
                Map.entry("port_range.1", "" + Net.freePort()),
                Map.entry("platform.addr", "127.0.0.1:" + storePort),
                Map.entry("bounds.drain", "2000ms"),
                Map.entry("bounds.config", "2000ms"),
                Map.entry("bounds.grace", "6s"),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.budget_slack", "56"));
        String template = Files.readString(root.resolve("deploy/daemon.ini"));
        String filled = PLACEHOLDER.matcher(template).replaceAll(match -> {
            String value = values.get(match.group(1));
            if (value == null) {
                throw new IllegalStateException("no value for " + match.group());
            }
            return Matcher.quoteReplacement(value);
        });
        settings = directory.resolve(name + ".ini");
        Files.writeString(settings, filled);
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml names no command");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        builder.environment().put("HEATHERREACH_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile()));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        disturbedNanos = System.nanoTime();
        record.note(name + " started");
    }

    /** Sends SIGTERM. */
    void terminate() {
        disturbedNanos = System.nanoTime();
        record.note(name + " gets SIGTERM");
        process.destroy();
    }

    /** Waits until the process has ended and kills it after the grace period; returns whether it ended by itself. */
    boolean awaitEnd(long graceMillis) {
        try {
            boolean ended = process.waitFor(graceMillis, TimeUnit.MILLISECONDS);
            if (!ended) {
                process.destroyForcibly().waitFor();
            }
            record.note(name + (ended ? " has ended" : " was killed after the grace period"));
            return ended;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    long disturbedNanos() {
        return disturbedNanos;
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Asks whether the daemon is ready. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readinessPort), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /api/readiness HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message answer = new Http.Reader(socket.getInputStream()).readMessage(true, 1 << 16);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - deadline < 0) {
            if (isReady()) {
                record.note(name + " is ready");
                return true;
            }
            Net.sleep(50);
        }
        record.note(name + " is not ready after " + millis + " ms");
        return false;
    }
}
