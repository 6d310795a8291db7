package org.heatherreach.bench.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A program of this project that runs as its own process, with its output in a file. Confined to one thread, apart from
 * {@link #close}, which may be called by any.
 */
public final class ProgramProcess implements AutoCloseable {
    private static final long POLL_MILLIS = 20;

    private final String name;
    private final Path output;
    private final Process process;

    /**
     * Starts a program from the class path of this process.
     *
     * @throws IOException if the process can't be started
     */
    public ProgramProcess(String name, Path directory, Class<?> mainClass, List<String> arguments) throws IOException {
        this.name = name;
        this.output = directory.resolve(name + ".log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp"));
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass.getName());
        command.addAll(arguments);
        this.process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
    }

    /** Returns the name. */
    public String name() {
        return name;
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /**
     * Waits until the condition holds.
     *
     * @throws IOException if the process ends before, or the time has passed
     */
    public void awaitReady(BooleanSupplier ready, int timeoutMillis) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!ready.getAsBoolean()) {
            if (!process.isAlive()) {
                throw new IOException(name + " ended with " + process.exitValue() + ": " + Files.readString(output));
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException(name + " was not ready in time: " + Files.readString(output));
            }
            sleep();
        }
    }

    /** Waits for the end of the process and returns whether it ended in time with exit code 0. */
    public boolean awaitSuccess(int timeoutMillis) {
        try {
            return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) && process.exitValue() == 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns what the process has printed.
     *
     * @throws IOException if the output can't be read
     */
    public String output() throws IOException {
        return Files.readString(output);
    }

    /** Returns whether the output has a line that starts with the given text. */
    public boolean hasPrinted(String start) {
        try {
            return Files.readString(output).lines().anyMatch(line -> line.startsWith(start));
        } catch (IOException e) {
            return false;
        }
    }

    /** Asks the process to end and returns whether it did so in time with exit code 0 or 143 (ended by a signal). */
    public boolean terminate(int timeoutMillis) {
        process.destroy();
        try {
            return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)
                    && (process.exitValue() == 0 || process.exitValue() == 143);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Sends a signal, such as {@code STOP}, {@code CONT} or {@code KILL}.
     *
     * @throws IOException if the signal can't be sent
     */
    public void signal(String signal) throws IOException {
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start();
        try {
            kill.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process. */
    @Override
    public void close() {
        process.destroyForcibly();
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
