import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A server leaves without a draining report: its entry is removed, and it goes on serving for some seconds. With the
 * trouble, the connections between the daemons and the store go silent shortly before, while new ones work.
 */
final class Drain {
    private static final long DRAIN_NANOS = 2_000_000_000L;
    /** A machine is in touch this long after its connections went silent. */
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    /** How long the server goes on serving after its entry was removed. */
    private static final long SERVES_ON_MILLIS = 4200;

    private Drain() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path temporary = Path.of(args[1]);
        boolean trouble = args[2].equals("1");
        Record record = new Record(Path.of(args[3]));
        Store store = new Store(record);
        store.put("op/config", Site.CONFIG);
        List<Backend> servers = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            servers.add(new Backend(record, store, "s" + i, Site.SERVICE, "zone-a", 3, 290));
        }
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            daemons.add(new Daemon(record, root, temporary, "front-" + i, "zone-a", store.port()));
        }
        int exit = 2;
        try {
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            if (daemons.stream().allMatch(daemon -> daemon.awaitReady(20_000))) {
                exit = play(record, store, daemons, servers, trouble);
            } else {
                record.say("a daemon did not start");
            }
        } finally {
            daemons.forEach(Daemon::kill);
        }
        System.exit(exit);
    }

    private static int play(
            Record record, Store store, List<Daemon> daemons, List<Backend> servers, boolean trouble) {
        Net.sleep(8000);
        Queue<Caller.Result> orders = new ConcurrentLinkedQueue<>();
        List<Thread> callers = new ArrayList<>();
        long silentNanos = System.nanoTime();
        long removedNanos = 0;
        boolean ended = false;
        Backend leaving = servers.get(0);
        String leavingId = leaving.id();
        // 20 orders a second for 18 s.
        for (int i = 0; i < 360; i++) {
            if (i == 96 && trouble) {
                silentNanos = System.nanoTime();
                store.silenceOpenConnections();
            }
            if (i == 100) {
                removedNanos = leaving.unregister();
            }
            if (removedNanos != 0
                    && !ended
                    && System.nanoTime() - removedNanos >= SERVES_ON_MILLIS * 1_000_000) {
                ended = true;
                leaving.end();
            }
            Daemon daemon = daemons.get(i % daemons.size());
            int number = i;
            Thread caller = new Thread(() -> orders.add(Caller.call(
                    daemon, "POST", "/order/" + number, ("hide " + number).getBytes(), 5000)));
            caller.start();
            callers.add(caller);
            Net.sleep(50);
        }
        for (Thread caller : callers) {
            try {
                caller.join(6000);
            } catch (InterruptedException e) {
                return 2;
            }
        }
        record.writeTraffic(orders, servers);
        Map<String, Caller.Result> orderById = new HashMap<>();
        orders.forEach(order -> orderById.put(order.requestId(), order));
        int late = 0;
        double latest = 0;
        int lost = 0;
        for (Backend.Arrival arrival : leaving.arrivals) {
            double seconds = (arrival.nanos - removedNanos) / 1e9;
            Caller.Result order = orderById.get(arrival.requestId);
            record.note(String.format(
                    "order %s reached %s %.3f s after the removal of its entry; status %d, %s",
                    arrival.requestId, leavingId, seconds, order.status(), order.body()));
            boolean sentLate = order.sentNanos() - removedNanos > DRAIN_NANOS
                    && order.sentNanos() - silentNanos > STABLE_WINDOW_NANOS;
            if (sentLate && arrival.nanos - removedNanos > DRAIN_NANOS) {
                late++;
                latest = Math.max(latest, seconds);
                if (order.status() != 200) {
                    lost++;
                }
            }
        }
        record.say(orders.size() + " orders, "
                + orders.stream().filter(order -> order.status() == 200).count() + " answered 200");
        record.say(String.format(
                "%d orders reached the server that left, sent by machines in touch later than 2 s after its removal"
                        + " was acknowledged, the last after %.3f s; %d of these got no 200",
                late, latest, lost));
        return late > 0 ? 1 : 0;
    }
}
