import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients send documents in chunks to servers that are all busy, so that requests wait for a slot. With the trouble,
 * some clients leave before their deadline.
 */
final class Gone {
    private static final int DOCUMENT_BYTES = 30_000;
    private static final long ALLOWANCE_NANOS = 500_000_000L;
    /** What the check takes "a few" for. */
    private static final int A_FEW = 5;
    private static final long GIVE_UP_START_MILLIS = 5000;
    private static final long GIVE_UP_LENGTH_MILLIS = 5000;
    private static final long PATIENCE_MILLIS = 400;

    private Gone() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path temporary = Path.of(args[1]);
        boolean trouble = args[2].equals("1");
        Record record = new Record(Path.of(args[3]));
        Store store = new Store(record);
        store.put("op/config", Site.CONFIG);
        List<Backend> servers = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            servers.add(new Backend(record, store, "s" + i, Site.SERVICE, "zone-a", 3, 880));
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
        byte[] document = new byte[DOCUMENT_BYTES];
        long start = System.nanoTime();
        // 27 requests a second of 880 ms each for 18 slots.
        for (int i = 0; i < 360; i++) {
            long elapsed = (System.nanoTime() - start) / 1_000_000;
            boolean leaves = trouble
                    && elapsed >= GIVE_UP_START_MILLIS
                    && elapsed < GIVE_UP_START_MILLIS + GIVE_UP_LENGTH_MILLIS
                    && i % 10 < 3;
            Daemon daemon = daemons.get(i % daemons.size());
            String path = "/document/" + i;
            Thread caller = new Thread(() -> results.add(
                    Caller.callAndLeave(daemon, path, document, 15_000, leaves ? PATIENCE_MILLIS : 15_000)));
            caller.start();
            callers.add(caller);
            Net.sleep(start / 1_000_000 + (i + 1) * 37L - System.nanoTime() / 1_000_000);
        }
        for (Thread caller : callers) {
            caller.join(16_000);
        }
        record.writeTraffic(results, servers);
        Map<String, Caller.Result> leftById = new HashMap<>();
        for (Caller.Result result : results) {
            if (result.ending().equals(Caller.LEFT)) {
                leftById.put(result.requestId(), result);
            }
        }
        int reached = 0;
        int ran = 0;
        for (Backend server : servers) {
            for (Backend.Arrival arrival : server.arrivals) {
                Caller.Result left = leftById.get(arrival.requestId);
                if (left == null || arrival.nanos - left.endNanos() <= ALLOWANCE_NANOS) {
                    continue;
                }
                reached++;
                if (arrival.ran) {
                    ran++;
                }
                record.note(String.format(
                        "request %s: its client left at %.3f; reached server %s at %.3f, %d bytes of the body%s",
                        arrival.requestId,
                        record.seconds(left.endNanos()),
                        arrival.serverId,
                        record.seconds(arrival.nanos),
                        arrival.bodyBytes,
                        arrival.ran ? ", run" : ""));
            }
        }
        record.say(results.size() + " requests, "
                + results.stream().filter(result -> result.status() == 200).count() + " answered 200, " + leftById.size()
                + " clients left; " + reached + " of their requests reached a server more than 0.5 s later, " + ran
                + " of these were run (" + A_FEW + " are allowed)");
        return reached > A_FEW ? 1 : 0;
    }
}
