import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * For a moment, all servers turn requests away and ask for some seconds of quiet, so requests wait at the daemons. With
 * the trouble, one daemon gets SIGTERM meanwhile.
 */
final class Stop {
    private static final long LOSS_SLACK_NANOS = 200_000_000L;
    /** The timeout of the route; the clients' deadline is later. */
    private static final long TIMEOUT_NANOS = 8_000_000_000L;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final long GRACE_MILLIS = 6000;
    /** How long clients keep the address of a daemon that stops. */
    private static final long KEEP_NANOS = 1_000_000_000L;
    private static final int QUIET_SECONDS = 6;

    private Stop() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path temporary = Path.of(args[1]);
        boolean trouble = args[2].equals("1");
        Record record = new Record(Path.of(args[3]));
        Store store = new Store(record);
        store.put("op/config", Site.CONFIG);
        List<Backend> servers = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
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
                Net.sleep(4000);
                exit = play(record, daemons, servers, trouble);
            } else {
                record.say("a daemon did not start");
            }
        } finally {
            daemons.forEach(Daemon::kill);
        }
        System.exit(exit);
    }

    private static int play(Record record, List<Daemon> daemons, List<Backend> servers, boolean trouble)
            throws InterruptedException {
        Queue<Caller.Result> results = new ConcurrentLinkedQueue<>();
        List<Thread> callers = new ArrayList<>();
        Daemon stopping = daemons.get(0);
        long stopNanos = 0;
        // 10 requests a second, to both daemons in turn.
        for (int i = 0; i < 150; i++) {
            if (i == 40) {
                record.note("the servers turn requests away");
                servers.forEach(server -> server.turnAway(1000, QUIET_SECONDS));
            }
            if (i == 45 && trouble) {
                stopNanos = System.nanoTime();
                stopping.terminate();
            }
            boolean forgotten = stopNanos != 0 && System.nanoTime() - stopNanos >= KEEP_NANOS;
            Daemon daemon = daemons.get(forgotten ? 1 : i % 2);
            String path = "/document/" + i;
            Thread caller = new Thread(
                    () -> results.add(Caller.call(daemon, "POST", path, path.getBytes(), DEADLINE_MILLIS)));
            caller.start();
            callers.add(caller);
            Net.sleep(100);
        }
        for (Thread caller : callers) {
            caller.join(DEADLINE_MILLIS + 1000);
        }
        boolean ended = !trouble || stopping.awaitEnd(GRACE_MILLIS);
        record.writeTraffic(results, servers);
        Set<String> ran = new HashSet<>();
        for (Backend server : servers) {
            server.arrivals.stream().filter(arrival -> arrival.ran).forEach(arrival -> ran.add(arrival.requestId));
        }
        long lost = results.stream()
                .filter(result -> result.status() == 0 && !ran.contains(result.requestId()))
                .filter(result -> result.endNanos() - result.sentNanos() > LOSS_SLACK_NANOS
                        && result.endNanos() - result.sentNanos() < TIMEOUT_NANOS)
                .peek(result -> record.note("lost: " + result))
                .count();
        record.say(results.size() + " requests, "
                + results.stream().filter(result -> result.status() == 200).count() + " answered 200, "
                + results.stream().filter(result -> result.status() == 503).count() + " answered 503; " + lost
                + " that no server had begun ended without an answer, more than 200 ms after they were sent and before"
                + " the route's timeout" + (ended ? "" : "; the daemon did not end within the grace period"));
        return lost > 0 ? 1 : 0;
    }
}
