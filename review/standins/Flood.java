import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients upload files of 1 MB, and others book orders. With the trouble, more clients than usual upload for some
 * seconds.
 */
final class Flood {
    private static final int UPLOAD_BYTES = 1_000_000;
    private static final double UPLOADS_PER_SECOND = 60;
    private static final double BURST_FACTOR = 2.4;
    private static final long BURST_MILLIS = 6800;
    private static final long BURST_START_MILLIS = 6000;
    /** From then on no excuse is left: 5 s after the burst and the stable window have passed. */
    private static final long JUDGED_FROM_MILLIS = BURST_START_MILLIS + BURST_MILLIS + 5000 + 3000;
    private static final long LENGTH_MILLIS = 36_000;
    private static final long ORDER_TIMEOUT_MILLIS = 2500;
    private static final long UPLOAD_TIMEOUT_MILLIS = 12_000;
    private static final long ANSWER_SLACK_MILLIS = 500;
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    /** RECOVER: a ready machine takes no new connection for the stable window while this many clients try. */
    private static final int MIN_CLIENTS = 7;
    private static final long UPLOAD_DEADLINE_MILLIS = 20_000;

    private Flood() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path temporary = Path.of(args[1]);
        boolean trouble = args[2].equals("1");
        Record record = new Record(Path.of(args[3]));
        Store store = new Store(record);
        store.put("op/config", Site.CONFIG);
        List<Backend> servers = new ArrayList<>();
        for (int i = 1; i <= 14; i++) {
            servers.add(new Backend(record, store, "s" + i, Site.SERVICE, "zone-a", 3, 500));
        }
        Daemon daemon = new Daemon(record, root, temporary, "front-1", "zone-a", store.port());
        int exit = 2;
        try {
            daemon.start();
            if (daemon.awaitReady(20_000)) {
                Net.sleep(4000);
                exit = play(record, daemon, servers, trouble);
            } else {
                record.say("the daemon did not start");
            }
        } finally {
            daemon.kill();
        }
        System.exit(exit);
    }

    private static int play(Record record, Daemon daemon, List<Backend> servers, boolean trouble)
            throws InterruptedException {
        Queue<Caller.Result> orders = new ConcurrentLinkedQueue<>();
        Queue<Caller.Result> uploads = new ConcurrentLinkedQueue<>();
        byte[] file = new byte[UPLOAD_BYTES];
        List<Thread> callers = new ArrayList<>();
        long start = System.nanoTime();
        double uploadsDue = 0;
        double ordersDue = 0;
        long before = 0;
        int number = 0;
        for (long elapsed = 0; elapsed < LENGTH_MILLIS; elapsed = (System.nanoTime() - start) / 1_000_000) {
            boolean burst =
                    trouble && elapsed >= BURST_START_MILLIS && elapsed < BURST_START_MILLIS + BURST_MILLIS;
            uploadsDue += (elapsed - before) / 1000.0 * UPLOADS_PER_SECOND * (burst ? BURST_FACTOR : 1);
            ordersDue += (elapsed - before) / 1000.0 * 10;
            before = elapsed;
            for (; uploadsDue >= 1; uploadsDue--) {
                String path = "/upload/" + number++;
                callers.add(caller(
                        () -> uploads.add(Caller.call(daemon, "POST", path, file, UPLOAD_DEADLINE_MILLIS))));
            }
            for (; ordersDue >= 1; ordersDue--) {
                String path = "/order/" + number++;
                callers.add(caller(() -> orders.add(Caller.call(daemon, "POST", path, path.getBytes(), 5000))));
            }
            Net.sleep(10);
        }
        for (Thread caller : callers) {
            caller.join(UPLOAD_DEADLINE_MILLIS + 5000);
        }
        record.writeTraffic(uploads, servers);
        record.writeTraffic(orders, List.of());
        long judgedNanos = start + JUDGED_FROM_MILLIS * 1_000_000;
        boolean uploadsBroken = judge(record, "uploads", uploads, judgedNanos, UPLOAD_TIMEOUT_MILLIS);
        boolean ordersBroken = judge(record, "orders", orders, judgedNanos, ORDER_TIMEOUT_MILLIS);
        boolean ready = daemon.isReady();
        record.say("the daemon " + (daemon.isAlive() ? "runs" : "has ended") + " and is " + (ready ? "ready" : "not ready"));
        boolean closed = ready && takesNoConnection(record, orders, judgedNanos);
        return uploadsBroken || ordersBroken || closed || !daemon.isAlive() ? 1 : 0;
    }

    /** Returns whether every order of a stable window was refused a connection. */
    private static boolean takesNoConnection(Record record, Queue<Caller.Result> orders, long judgedNanos) {
        List<Caller.Result> judged = orders.stream()
                .filter(order -> order.sentNanos() - judgedNanos >= 0)
                .sorted(Comparator.comparingLong(Caller.Result::sentNanos))
                .toList();
        int refused = 0;
        int inARow = 0;
        long firstNanos = 0;
        boolean closed = false;
        for (Caller.Result order : judged) {
            if (order.status() != 0 || !order.ending().contains("refused")) {
                inARow = 0;
                continue;
            }
            refused++;
            inARow++;
            firstNanos = inARow == 1 ? order.sentNanos() : firstNanos;
            closed |= inARow >= MIN_CLIENTS && order.sentNanos() - firstNanos >= STABLE_WINDOW_NANOS;
        }
        record.say("of the " + judged.size() + " orders that were sent 8 s after the burst or later, " + refused
                + " were refused a connection");
        return closed;
    }

    private static Thread caller(Runnable call) {
        Thread thread = new Thread(call);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns whether more than half of the requests unanswered at the timeout have no answer half a second later. */
    private static boolean judge(
            Record record, String name, Queue<Caller.Result> results, long judgedNanos, long timeoutMillis) {
        Map<String, Integer> counts = new TreeMap<>();
        int judged = 0;
        int unanswered = 0;
        int late = 0;
        for (Caller.Result result : results) {
            String ending = result.status() == 0 ? result.ending() : "";
            counts.merge(result.status() + " " + ending, 1, Integer::sum);
            if (result.sentNanos() - judgedNanos < 0) {
                continue;
            }
            judged++;
            boolean answered = result.status() != 0;
            if (!answered && result.millis() < timeoutMillis) {
                // Its connection was closed, so it doesn't wait any longer.
                continue;
            }
            if (!answered || result.millis() > timeoutMillis) {
                unanswered++;
                if (!answered || result.millis() > timeoutMillis + ANSWER_SLACK_MILLIS) {
                    late++;
                }
            }
        }
        record.say(name + ": " + results.size() + ", " + counts + "; of the " + judged
                + " that were sent 8 s after the burst or later, " + unanswered
                + " were unanswered at the route's timeout, " + late + " of these half a second later");
        return late * 2 > unanswered;
    }
}
