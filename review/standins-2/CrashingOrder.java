import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6: an order crashes each server that begins to run it, and comes again. The caller's other orders go to the same
 * path. All of them are sent in chunks, or with a length if CHUNKED is 0.
 */
public final class CrashingOrder extends CrashCase {
    private static final String CRASHING_BODY = "order that crashes the server";
    private static final boolean CHUNKED = !"0".equals(System.getenv("CHUNKED"));
    private static final int DEADLINE_MILLIS = 5000;

    private final AtomicInteger ids = new AtomicInteger();

    private CrashingOrder() throws IOException {
        super("benchdesk", 3, "127.0.0.60");
    }

    @Override
    boolean isCrashing(Http request) {
        return CRASHING_BODY.equals(new String(request.body, StandardCharsets.UTF_8));
    }

    @Override
    long crashAfterMillis() {
        return 0;
    }

    @Override
    void send(List<Site.Daemon> daemons) {
        for (int i = 0; i < 6; i++) {
            Site.Daemon daemon = daemons.get(i % 2);
            Backend.start("orders", () -> {
                while (!stopped) {
                    String id = "order-" + ids.incrementAndGet();
                    order(daemon, "other order", id, "order " + id);
                    Site.sleep(400);
                }
            });
        }
        Site.sleep(2000);
        for (int i = 0; i < 20; i++) {
            order(daemons.get(i % 2), "crashing order", "crashing-" + i, CRASHING_BODY);
            Site.sleep(1500);
        }
    }

    private void order(Site.Daemon daemon, String kind, String id, String body) {
        String framed = CHUNKED
                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\n\r\n"
                : "Content-Length: " + body.length() + "\r\n\r\n" + body;
        request(daemon, kind, id, "POST /order/new HTTP/1.1\r\n", framed, DEADLINE_MILLIS);
    }

    public static void main(String[] args) throws IOException {
        new CrashingOrder().runAndExit(Site.route("order", "non_idempotent", "benchdesk", 800, 2500, 2), 12, 12);
    }
}
