import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Helpers for threads and ports. Safe for use by any thread. */
final class Net {
    private static final int FIRST_PORT = 18_000;
    private static final int LAST_PORT = 31_000;
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Net() {}

    static void daemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a port that is free at present, below the range from which the system takes ports of its own. */
    static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (GIVEN.add(port)) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                // The port is in use.
            }
        }
    }
}
