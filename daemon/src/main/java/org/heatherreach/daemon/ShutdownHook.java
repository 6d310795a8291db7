package org.heatherreach.daemon;

import java.util.concurrent.CountDownLatch;

/** Keeps a program running until it receives a stop signal. Stateless. */
public final class ShutdownHook {
    private ShutdownHook() {}

    /**
     * Blocks until the process ends. SIGTERM and SIGINT run the graceful shutdown first.
     *
     * @param shutDown the graceful shutdown
     */
    public static void runUntilStopped(Runnable shutDown) {
        // Without halt(0) the exit status would be that of a process killed by a signal.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            shutDown.run();
                            Logs.close();
                            Runtime.getRuntime().halt(0);
                        },
                        "shutdown"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
