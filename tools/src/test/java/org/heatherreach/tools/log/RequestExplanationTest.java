package org.heatherreach.tools.log;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

class RequestExplanationTest {
    private final Path directory;
    private final Path first;
    private final Path second;

    RequestExplanationTest() throws IOException {
        directory = Files.createTempDirectory("heatherreach-logs");
        first = directory.resolve("front-1.log");
        second = directory.resolve("front-2.log");
    }

    @AfterTry
    void delete() throws IOException {
        Files.deleteIfExists(first);
        Files.deleteIfExists(second);
        Files.delete(directory);
    }

    // Guards against blaming the server when only one daemon fails to reach it, or blaming the network path when other
    // daemons fail there too. The results of other requests at the same server tell the two cases apart.
    @Example
    void countsResultsOfOtherRequestsAtTheSameServer() throws IOException {
        write(first, formatRequestLine("aa", "unknown", "server-timeout", "i-1", "stalled/2000ms"));
        write(
                second,
                formatRequestLine("bb", "backend", "", "i-1", "none/20ms"),
                formatRequestLine("cc", "backend", "", "i-1", "none/22ms"),
                formatRequestLine("dd", "backend", "", "i-2", "error/22ms"),
                "2026-12-04T10:00:02.000Z INFO  [PooledScheduler] server=i-1 service=s state=suspected result=stalled"
                        + " observer=7f");
        RequestExplanation explanation = new RequestExplanation("aa", List.of(first, second));
        assertThat(explanation.cause()).isEqualTo(FailureCause.SERVER_SILENT);
        assertThat(explanation.lines())
                .anyMatch(line -> line.contains("at server i-1") && line.contains("{none=2}"))
                .anyMatch(line -> line.contains("state=suspected") && line.contains("front-2.log"))
                .noneMatch(line -> line.contains("i-2"));
    }

    // Guards against an explanation that omits that the daemon used outdated data because it had lost the store.
    @Example
    void showsAnOutageOfTheStoreAtTheDaemon() throws IOException {
        write(
                first,
                "2026-12-04T09:59:00.000Z WARN  [FollowedKeys] dependency=store state=lost watched=servers reason=\"x\"",
                formatRequestLine("aa", "not-run", "no-server", "", ""));
        RequestExplanation explanation = new RequestExplanation("aa", List.of(first));
        assertThat(explanation.cause()).isEqualTo(FailureCause.NO_SERVER);
        assertThat(explanation.lines()).anyMatch(line -> line.contains("lost for 63000 ms"));
    }

    // Guards against a log file that can't be used because it has bytes that are not UTF-8, JSON lines, stack traces or
    // an incomplete last line.
    @Example
    void readsTextAndJsonLinesAndSkipsOtherContent() throws IOException {
        Files.write(first, new byte[] {(byte) 0xff, (byte) 0xfe, '\n'});
        Files.writeString(
                first,
                "\tat java.base/Thread.run\n{\"timestamp\":\"2026-12-04T10:00:03Z\",\"level\":\"INFO\",\"message\":"
                        + "\"request=aa ending=caller-left outcome=\"}\n{\"timestamp\":\"2026-12-04T10:0",
                StandardCharsets.UTF_8,
                StandardOpenOption.APPEND);
        RequestExplanation explanation = new RequestExplanation("aa", List.of(first));
        assertThat(explanation.cause()).isEqualTo(FailureCause.CALLER);
        assertThat(new RequestExplanation("a", List.of(first)).isFound()).isFalse();
    }

    private static String formatRequestLine(String id, String outcome, String reason, String server, String result) {
        return "front-1 12.5 s 2026-12-04T10:00:03.000Z INFO  [RequestLog] request=" + id
                + " service=s rank=standard ending=answered outcome=" + outcome
                + (reason.isEmpty() ? "" : " reason=" + reason) + " took-ms=2000 table=3"
                + (server.isEmpty()
                        ? ""
                        : " server=" + server + " in-flight=1/3 suspicion=0.0 sent-at-ms=1 result=" + result);
    }

    private static void write(Path file, String... lines) throws IOException {
        Files.write(file, List.of(lines));
    }
}
