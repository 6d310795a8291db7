import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8: a lookup crashes each server that begins to run it, which falls silent, and comes again. Certificates are issued
 * meanwhile. If SILENT is 0, the servers close their connections when they crash.
 */
public final class SilentCrash extends CrashCase {
    private static final String CRASHING_PATH = "/look/crashing";
    private static final int TIMEOUT_MILLIS = 800;

    private final AtomicInteger ids = new AtomicInteger();

    private SilentCrash() throws IOException {
        super("certdesk", 2, "127.0.0.80");
    }

    @Override
    boolean isCrashing(Http request) {
        return request.start.contains(CRASHING_PATH + " ");
    }

    @Override
    long crashAfterMillis() {
        return 0;
    }

    @Override
    boolean isSilentCrash() {
        return !"0".equals(System.getenv("SILENT"));
    }

    @Override
    void send(List<Site.Daemon> daemons) {
        for (int i = 0; i < 8; i++) {
            Site.Daemon daemon = daemons.get(i % 2);
            Backend.start("issues", () -> {
                while (!stopped) {
                    String id = "issue-" + ids.incrementAndGet();
                    String head = "POST /issue/new HTTP/1.1\r\n";
                    request(daemon, "issue", id, head, "Content-Length: " + id.length() + "\r\n\r\n" + id, 1000);
                    Site.sleep(100);
                }
            });
        }
        Site.sleep(2000);
        for (int i = 0; i < 16; i++) {
            String head = "GET " + CRASHING_PATH + " HTTP/1.1\r\n";
            request(daemons.get(i % 2), "crashing lookup", "crashing-" + i, head, "\r\n", TIMEOUT_MILLIS);
            Site.sleep(2200);
        }
    }

    public static void main(String[] args) throws IOException {
        new SilentCrash()
                .runAndExit(
                        Site.route("look", "idempotent", "certdesk", 400, TIMEOUT_MILLIS, 2) + ","
                                + Site.route("issue", "non_idempotent", "certdesk", 400, 1000, 2),
                        12,
                        12);
    }
}
