import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Locale;

/** The record of a run: one line for each event, with the seconds since the start. Safe for use by any thread. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void note(String text) {
        writer.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(System.nanoTime()), text));
        writer.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        note(text);
        System.out.println(text);
    }

    /** Writes what was sent and answered, and what reached the servers and was run there. */
    void writeTraffic(Collection<Caller.Result> results, Collection<Backend> servers) {
        for (Caller.Result result : results) {
            note(String.format(
                    Locale.ROOT,
                    "sent %s to %s at %.3f: status %d after %d ms %s %s",
                    result.requestId(),
                    result.daemon(),
                    seconds(result.sentNanos()),
                    result.status(),
                    result.millis(),
                    result.ending(),
                    result.body()));
        }
        for (Backend server : servers) {
            for (Backend.Arrival arrival : server.arrivals) {
                note(String.format(
                        Locale.ROOT,
                        "%s reached %s at %.3f%s",
                        arrival.requestId,
                        arrival.serverId,
                        seconds(arrival.nanos),
                        arrival.ran ? " and ran" : ""));
            }
        }
    }

    double seconds(long nanos) {
        return (nanos - startNanos) / 1e9;
    }
}
