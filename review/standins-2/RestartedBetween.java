import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 9: an order crashes each server that begins to run it, and comes again. With the trouble, all daemons are stopped
 * and started in turn each time between two of its attempts.
 */
public final class RestartedBetween extends CrashCase {
    private static final String CRASHING_BODY = "order that crashes the server";
    private static final int DEADLINE_MILLIS = 5000;
    private static final long GAP_MILLIS = 1300;
    private static final long GRACE_MILLIS = 6000;
    /** Longer than the stable window, so that all daemons are in touch when the order comes again. */
    private static final long CALM_MILLIS = 3200;

    private final AtomicInteger ids = new AtomicInteger();

    private RestartedBetween() throws IOException {
        super("benchdesk", 3, "127.0.0.90");
    }

    @Override
    boolean isCrashing(Http request) {
        return CRASHING_BODY.equals(new String(request.body, StandardCharsets.UTF_8));
    }

    @Override
    boolean serversCrash() {
        return true;
    }

    @Override
    long crashAfterMillis() {
        return 0;
    }

    @Override
    void send(List<Site.Daemon> daemons) {
        for (int i = 0; i < 4; i++) {
            Site.Daemon daemon = daemons.get(i % 2);
            Backend.start("orders", () -> {
                while (!stopped) {
                    String id = "order-" + ids.incrementAndGet();
                    order(daemon, "other order", id, "order " + id);
                    Site.sleep(400);
                }
            });
        }
        Site.sleep(1000);
        for (int i = 0; i < 8; i++) {
            order(daemons.get(i % 2), "crashing order", "crashing-" + i, CRASHING_BODY);
            if (Site.TROUBLE) {
                restartInTurn(daemons);
            }
            Site.sleep(CALM_MILLIS);
        }
    }

    /** Stops and starts all daemons, one after the other. */
    private void restartInTurn(List<Site.Daemon> daemons) {
        List<Thread> restarts = daemons.stream().map(daemon -> new Thread(() -> restart(daemon))).toList();
        for (Thread restart : restarts) {
            restart.start();
            Site.sleep(GAP_MILLIS);
        }
        for (Thread restart : restarts) {
            try {
                restart.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void restart(Site.Daemon daemon) {
        try {
            daemon.signal("TERM");
            if (!daemon.awaitEnd(GRACE_MILLIS)) {
                daemon.signal("KILL");
                daemon.awaitEnd(1000);
            }
            daemon.start();
            daemon.awaitReady(20_000);
            site.log("%s is ready again", daemon.name);
        } catch (IOException | InterruptedException e) {
            site.log("%s could not be restarted: %s", daemon.name, e);
        }
    }

    private void order(Site.Daemon daemon, String kind, String id, String body) {
        String framed = "Content-Length: " + body.length() + "\r\n\r\n" + body;
        request(daemon, kind, id, "POST /order/new HTTP/1.1\r\n", framed, DEADLINE_MILLIS);
    }

    public static void main(String[] args) throws IOException {
        new RestartedBetween().runAndExit(Site.route("order", "non_idempotent", "benchdesk", 800, 2500, 2), 12, 12);
    }
}
