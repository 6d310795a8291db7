package org.heatherreach.tools.log;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.Channels;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.vavr.control.Option;

/**
 * Explains one request from the log files of all daemons: its log lines, the cause of a failure, the results of other
 * requests at the same servers, and the state changes around that time.
 *
 * <p>Invariant: the files are read line by line and only lines that bear on the request are kept, so log files may be
 * larger than the memory.
 *
 * <p>Confined to one thread.
 */
public final class RequestExplanation {
    /**
     * How far apart in time a log line and the request may be for the line to count as evidence. A server stays
     * suspected for some seconds, and the clocks of VMs differ slightly.
     */
    private static final Duration EVIDENCE_WINDOW = Duration.ofSeconds(5);

    private static final int MAX_EVENTS_SHOWN = 20;

    private final String id;
    private final List<Path> files;
    private final List<LogLine> requestLines = new ArrayList<>();
    private final List<LogLine> eventLines = new ArrayList<>();
    private final Map<String, Map<String, Integer>> resultCountsByServer = new TreeMap<>();
    private final Map<String, LogLine> tableLinesBySource = new TreeMap<>();
    private final Map<String, LogLine> storeLinesBySource = new TreeMap<>();

    /**
     * Reads the log files.
     *
     * @param id the id of the request
     * @param files the log files, one for each daemon
     * @throws UncheckedIOException if a file can't be read
     */
    public RequestExplanation(String id, List<Path> files) {
        this.id = Objects.requireNonNull(id, "id");
        this.files = List.copyOf(files);
        forEachLine(line -> {
            if (line.field("request").contains(id)) {
                requestLines.add(line);
            }
        });
        requestLines.sort(Comparator.comparing(LogLine::time));
        if (!requestLines.isEmpty()) {
            forEachLine(this::collectEvidence);
            eventLines.sort(Comparator.comparing(LogLine::time));
        }
    }

    /** Returns whether any log file has a line for the request. */
    public boolean isFound() {
        return !requestLines.isEmpty();
    }

    /** Returns the cause that the latest log line of the request shows. */
    public FailureCause cause() {
        return FailureCause.fromLine(requestLines.get(requestLines.size() - 1));
    }

    /** Returns the explanation as lines of text for operators. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        requestLines.forEach(request -> lines.add(format(request)));
        lines.add("cause: " + cause().meaning());
        requestLines.forEach(request -> describeDaemon(request, lines));
        if (cause().involvesServers()) {
            resultCountsByServer.forEach((server, results) -> lines.add("other requests at server " + server
                    + " within " + EVIDENCE_WINDOW.toSeconds() + " s: " + results));
        }
        if (!eventLines.isEmpty()) {
            lines.add("changes within " + EVIDENCE_WINDOW.toSeconds() + " s:");
            eventLines.stream().limit(MAX_EVENTS_SHOWN).forEach(event -> lines.add("  " + format(event)));
        }
        if (eventLines.size() > MAX_EVENTS_SHOWN) {
            lines.add("  and " + (eventLines.size() - MAX_EVENTS_SHOWN) + " more");
        }
        return lines;
    }

    private void describeDaemon(LogLine request, List<String> lines) {
        Option.of(tableLinesBySource.get(request.source()))
                .forEach(table -> lines.add("routes of " + request.source() + ": version "
                        + table.field("version").getOrElse("?") + ", in use for "
                        + Duration.between(table.time(), request.time()).toMillis() + " ms"));
        Option.of(storeLinesBySource.get(request.source()))
                .filter(store -> store.field("state").contains("lost"))
                .forEach(store -> lines.add("store of " + request.source() + ": lost for "
                        + Duration.between(store.time(), request.time()).toMillis() + " ms"));
    }

    private void collectEvidence(LogLine line) {
        for (LogLine request : requestLines) {
            boolean sameDaemon = line.source().equals(request.source());
            if (sameDaemon && !line.time().isAfter(request.time())) {
                updateDaemonState(line);
            }
            if (line.equals(request) || !isWithinWindow(line.time(), request)) {
                continue;
            }
            if (line.field("request").isDefined()) {
                countResults(line, request);
            } else if (mayAffect(line, request, sameDaemon)) {
                eventLines.add(line);
            }
            return;
        }
    }

    private void updateDaemonState(LogLine line) {
        if (line.message().startsWith("table ") && line.field("state").contains("in-use")) {
            tableLinesBySource.put(line.source(), line);
        } else if (line.field("dependency").contains("store")) {
            storeLinesBySource.put(line.source(), line);
        }
    }

    private void countResults(LogLine line, LogLine request) {
        List<String> servers = line.fields("server");
        List<String> results = line.fields("result");
        List<String> triedServers = request.fields("server");
        for (int i = 0; i < Math.min(servers.size(), results.size()); i++) {
            if (triedServers.contains(servers.get(i))) {
                String result = results.get(i).replaceFirst("/.*", "");
                resultCountsByServer
                        .computeIfAbsent(servers.get(i), key -> new TreeMap<>())
                        .merge(result, 1, Integer::sum);
            }
        }
    }

    /** Returns whether a line reports a change at one of the request's servers, or of the daemon that received it. */
    private static boolean mayAffect(LogLine line, LogLine request, boolean sameDaemon) {
        Option<String> server = line.field("server");
        return server.isDefined()
                ? request.fields("server").contains(server.get())
                : sameDaemon && line.field("state").isDefined();
    }

    private static boolean isWithinWindow(Instant time, LogLine request) {
        return Duration.between(time, request.time()).abs().compareTo(EVIDENCE_WINDOW) <= 0;
    }

    private static String format(LogLine line) {
        return line.time() + " " + line.source() + ": " + line.message();
    }

    private void forEachLine(Consumer<LogLine> action) {
        for (Path file : files) {
            String source = file.getFileName().toString();
            // Malformed bytes must not prevent reading the rest of the file, so they are replaced.
            var decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPLACE);
            try (var reader = new BufferedReader(Channels.newReader(Files.newByteChannel(file), decoder, -1));
                    Stream<String> lines = reader.lines()) {
                lines.forEach(text -> LogLine.parse(source, text).forEach(action));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
