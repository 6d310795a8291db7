import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A request crashes each server that runs it and comes again every few seconds. With the trouble, the daemons are
 * stopped and started in turn meanwhile.
 */
final class Poison {
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    private static final int DAEMONS = 4;

    private Poison() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path temporary = Path.of(args[1]);
        boolean trouble = args[2].equals("1");
        Record record = new Record(Path.of(args[3]));
        Store store = new Store(record);
        store.put("op/config", Site.CONFIG);
        List<Backend> servers = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            servers.add(new Backend(record, store, "s" + i, Site.SERVICE, "zone-a", 3, 290));
        }
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= DAEMONS; i++) {
            daemons.add(new Daemon(record, root, temporary, "front-" + i, "zone-a", store.port()));
        }
        int exit;
        try {
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            for (Daemon daemon : daemons) {
                if (!daemon.awaitReady(20_000)) {
                    record.say("a daemon did not start");
                    System.exit(2);
                }
            }
            Net.sleep(4000);
            exit = play(record, daemons, servers, trouble);
        } finally {
            daemons.forEach(Daemon::kill);
        }
        System.exit(exit);
    }

    private static int play(Record record, List<Daemon> daemons, List<Backend> servers, boolean trouble) {
        Queue<Caller.Result> orders = new ConcurrentLinkedQueue<>();
        // 30 orders a second, on daemons that are ready.
        Net.daemonThread(() -> {
            for (int i = 0; ; i++) {
                int number = i;
                Daemon daemon = daemons.get(i % daemons.size());
                Net.daemonThread(() -> {
                    if (daemon.isReady()) {
                        orders.add(Caller.call(
                                daemon, "POST", "/order/" + number, ("hide " + number).getBytes(), 5000));
                    }
                });
                Net.sleep(33);
            }
        });
        Map<String, Long> sentByPoison = new HashMap<>();
        Map<String, Boolean> inTouchByPoison = new HashMap<>();
        // At first, until all daemons refuse the request.
        for (int i = 0; i < 6; i++) {
            poison(record, daemons.get(i % daemons.size()), sentByPoison, inTouchByPoison);
            Net.sleep(2000);
        }
        for (Daemon daemon : daemons) {
            if (trouble) {
                daemon.terminate();
                daemon.awaitEnd(6000);
                try {
                    daemon.start();
                } catch (java.io.IOException e) {
                    record.say("a daemon did not start again: " + e);
                    return 2;
                }
                if (!daemon.awaitReady(20_000)) {
                    return 2;
                }
                Net.sleep(3300);
            }
            for (int i = 0; i < 3; i++) {
                poison(record, daemon, sentByPoison, inTouchByPoison);
                Net.sleep(1500);
            }
        }
        return judge(record, servers, orders, sentByPoison, inTouchByPoison);
    }

    private static void poison(
            Record record, Daemon daemon, Map<String, Long> sentByPoison, Map<String, Boolean> inTouchByPoison) {
        String id = Caller.newId();
        sentByPoison.put(id, System.nanoTime());
        inTouchByPoison.put(id, System.nanoTime() - daemon.disturbedNanos() >= STABLE_WINDOW_NANOS);
        Caller.Result result =
                Caller.call(daemon, id, "POST", "/order" + Backend.CRASH_MARK, "hide 0".getBytes(), 4000);
        record.note("crashing request " + id + " at " + daemon.name + ": status " + result.status() + ", "
                + result.ending() + ", " + result.body());
    }

    private static int judge(
            Record record,
            List<Backend> servers,
            Queue<Caller.Result> orders,
            Map<String, Long> sentByPoison,
            Map<String, Boolean> inTouchByPoison) {
        record.writeTraffic(orders, servers);
        List<Backend.Arrival> runs = new ArrayList<>();
        List<Long> crashes = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        for (Backend server : servers) {
            server.arrivals.stream()
                    .filter(arrival -> sentByPoison.containsKey(arrival.requestId))
                    .forEach(runs::add);
            crashes.addAll(server.crashes);
            lost.addAll(server.lostInCrash);
        }
        crashes.sort(Comparator.naturalOrder());
        runs.sort(Comparator.comparingLong(run -> run.nanos));
        long answered = orders.stream().filter(order -> order.status() == 200).count();
        long failed = orders.stream()
                .filter(order -> lost.contains(order.requestId()) && order.status() != 200)
                .count();
        record.say("orders: " + orders.size() + " sent, " + answered + " answered 200; " + failed
                + " were running at a server when it crashed and got no 200");
        record.say("crashing request: " + sentByPoison.size() + " sent, " + runs.size() + " reached a server, "
                + crashes.size() + " crashes");
        if (crashes.size() < 3) {
            record.say("rule kept: fewer than three crashes");
            return 0;
        }
        long bound = crashes.get(2) + STABLE_WINDOW_NANOS;
        long counted = runs.stream()
                .filter(run -> sentByPoison.get(run.requestId) - bound > 0 && inTouchByPoison.get(run.requestId))
                .map(run -> run.requestId)
                .distinct()
                .count();
        record.say("third crash at " + String.format("%.3f", record.seconds(crashes.get(2))) + " s; " + counted
                + " retries, sent later than 3 s after it by machines in touch, reached servers (3 are allowed)");
        return counted > 3 ? 1 : 0;
    }
}
