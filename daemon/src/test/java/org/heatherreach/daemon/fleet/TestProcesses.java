package org.heatherreach.daemon.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.heatherreach.daemon.DaemonMain;

/** Programs that a test runs as processes on the loopback address; closing kills them. Confined to one thread. */
final class TestProcesses implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final long AWAIT_SECONDS = 40;
    /** Ports below the ephemeral range, so that no outgoing connection takes the port of a stopped process. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(15_000 + (int) (ProcessHandle.current().pid() % 250) * 64);

    private final Path directory;
    private final List<Process> processes = new ArrayList<>();

    /** Creates a temporary directory for settings and logs. */
    TestProcesses(String name) throws IOException {
        directory = Files.createTempDirectory(name);
    }

    /** A condition whose check may fail with an exception while a process does not answer yet. */
    interface Condition {
        boolean holds() throws Exception;
    }

    Path directory() {
        return directory;
    }

    /** Starts a program and appends its output to the log file of that name. */
    Process start(String name, Class<?> mainClass, String arguments, Map<String, String> environment)
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
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    Process start(String name, Class<?> mainClass, String arguments) throws IOException {
        return start(name, mainClass, arguments, Map.of());
    }

    /**
     * Starts the daemon {@code d<number>} in the zone {@code z<number % 3>}.
     *
     * @param port the port for callers
     * @param peerPorts the peer ports of all daemons, by number
     * @param more additional sections of the settings
     */
    Process startDaemon(int number, int port, List<Integer> peerPorts, int storePort, String... more)
            throws IOException {
        String seeds = String.join(
                ", ", peerPorts.stream().map(peer -> HOST + ':' + peer).toList());
        List<String> sections = new ArrayList<>(List.of(
                "[daemon]\nname = d" + number + "\nzone = z" + number % 3,
                "[listen]\naddress = " + HOST + ':' + port + "\nio_threads = 1",
                "[peer]\naddress = " + HOST + ':' + peerPorts.get(number) + "\nseeds = " + seeds,
                "[store]\nendpoints = " + HOST + ':' + storePort));
        sections.addAll(List.of(more));
        Path settings = Files.writeString(directory.resolve("d" + number + ".ini"), String.join("\n", sections) + '\n');
        return start("d" + number, DaemonMain.class, "--config " + settings);
    }

    /** Returns the log file with the output of a program. */
    Path log(String name) {
        return directory.resolve(name + ".log");
    }

    /** Sends a signal to a process. */
    static void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits for a condition; the timeout is far longer than every time limit of the design. */
    void await(String what, Condition condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (true) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (IOException e) {
                // The process does not accept connections yet.
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError("timed out waiting until " + what + ", see " + directory);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    static int freePort() {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use; the next one may be free.
            }
        }
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }
}
