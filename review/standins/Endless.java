import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** With the trouble, one of six servers answers for some seconds with bodies that do not end. */
final class Endless {
    private static final long FAULT_START_MILLIS = 4000;
    private static final long FAULT_LENGTH_MILLIS = 5000;
    private static final long LENGTH_MILLIS = 25_000;
    private static final long ORDER_TIMEOUT_MILLIS = 2500;
    private static final long ANSWER_SLACK_MILLIS = 500;
    /** A single late answer may be due to the machine on which the script runs. */
    private static final int MIN_LATE = 8;

    private Endless() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path temporary = Path.of(args[1]);
        boolean trouble = args[2].equals("1");
        Record record = new Record(Path.of(args[3]));
        Store store = new Store(record);
        store.put("op/config", Site.CONFIG);
        List<Backend> servers = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            servers.add(new Backend(record, store, "s" + i, Site.SERVICE, "zone-a", 3, 100));
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
        Queue<Caller.Result> views = new ConcurrentLinkedQueue<>();
        List<Thread> callers = new ArrayList<>();
        Backend faulty = servers.get(0);
        String faultyId = faulty.id();
        boolean begun = false;
        long start = System.nanoTime();
        // 10 orders and 20 views a second.
        for (int i = 0; (System.nanoTime() - start) / 1_000_000 < LENGTH_MILLIS; i++) {
            if (trouble && !begun && (System.nanoTime() - start) / 1_000_000 >= FAULT_START_MILLIS) {
                begun = true;
                record.note(faultyId + " begins to answer without end");
                faulty.answerWithoutEnd(FAULT_LENGTH_MILLIS);
            }
            String view = "/peek/" + i;
            callers.add(caller(() -> views.add(Caller.call(daemon, "GET", view, new byte[0], 15_000))));
            if (i % 2 == 0) {
                String order = "/order/" + i;
                callers.add(caller(() -> orders.add(Caller.call(daemon, "POST", order, order.getBytes(), 5000))));
            }
            Net.sleep(50);
        }
        for (Thread caller : callers) {
            caller.join(16_000);
        }
        record.writeTraffic(orders, servers);
        record.writeTraffic(views, List.of());
        long begunBodies = faulty.arrivals.stream()
                .filter(arrival -> arrival.ran && arrival.nanos - start >= FAULT_START_MILLIS * 1_000_000)
                .count();
        int unanswered = 0;
        int late = 0;
        int answered = 0;
        for (Caller.Result order : orders) {
            answered += order.status() == 200 ? 1 : 0;
            boolean waits = order.millis() > ORDER_TIMEOUT_MILLIS;
            unanswered += waits ? 1 : 0;
            boolean hasAnswer = order.status() != 0 && order.millis() <= ORDER_TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS;
            late += waits && !hasAnswer ? 1 : 0;
        }
        record.say(orders.size() + " orders, " + answered + " answered 200; " + unanswered
                + " were unanswered at the route's timeout, " + late + " of these half a second later");
        record.say("of " + views.size() + " views "
                + views.stream().filter(view -> view.status() == 200).count() + " were answered 200; the faulty server ran "
                + begunBodies + " requests in and after its trouble; the daemon is "
                + (daemon.isReady() ? "ready" : "not ready"));
        return late >= MIN_LATE && late * 2 > unanswered ? 1 : 0;
    }

    private static Thread caller(Runnable call) {
        Thread thread = new Thread(call);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
