import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 7: a lookup crashes each server that runs it for 600 ms, and comes again. Seven of twelve servers drop a request
 * when its connection closes, the others run it to its end. Certificates are issued meanwhile.
 */
public final class CrashingLookup extends CrashCase {
    private static final String CRASHING_PATH = "/look/crashing";
    private static final int TARGET_LATENCY_MILLIS = 400;
    private static final int TIMEOUT_MILLIS = 800;

    private final AtomicInteger ids = new AtomicInteger();

    private CrashingLookup() throws IOException {
        super("certdesk", 2, "127.0.0.70");
    }

    @Override
    boolean isCrashing(Http request) {
        return request.start.contains(CRASHING_PATH + " ");
    }

    @Override
    long crashAfterMillis() {
        return 600;
    }

    @Override
    void send(List<Site.Daemon> daemons) {
        for (int i = 0; i < 8; i++) {
            Site.Daemon daemon = daemons.get(i % 2);
            Backend.start("issues", () -> {
                while (!stopped) {
                    String id = "issue-" + ids.incrementAndGet();
                    request(daemon, "issue", id, "POST /issue/new HTTP/1.1\r\n", "Content-Length: " + id.length() + "\r\n\r\n" + id, 1000);
                    Site.sleep(100);
                }
            });
        }
        Site.sleep(2000);
        for (int i = 0; i < 36; i++) {
            request(
                    daemons.get(i % 2),
                    "crashing lookup",
                    "crashing-" + i,
                    "GET " + CRASHING_PATH + " HTTP/1.1\r\n",
                    "\r\n",
                    TIMEOUT_MILLIS);
            Site.sleep(1000);
        }
    }

    public static void main(String[] args) throws IOException {
        new CrashingLookup()
                .runAndExit(
                        Site.route("look", "idempotent", "certdesk", TARGET_LATENCY_MILLIS, TIMEOUT_MILLIS, 2) + ","
                                + Site.route("issue", "non_idempotent", "certdesk", TARGET_LATENCY_MILLIS, 1000, 2),
                        12,
                        7);
    }
}
