package org.heatherreach.daemon.site;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Short tasks that are run again and again by one daemon thread, {@code site-timer}.
 *
 * <p>Invariant: a task that throws anything is logged and run again after its interval; it ends neither its own series nor
 * that of another task.
 *
 * <p>Safe for use by any thread.
 */
final class PeriodicTasks {
    private static final Logger LOG = Logger.getLogger(PeriodicTasks.class);

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "site-timer");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Runs tasks one after the other after each interval, which begins when their previous run has ended. They share the
     * wake-ups of the thread and must not block.
     */
    void add(long intervalMillis, Runnable... tasks) {
        List<Runnable> added = List.of(tasks);
        timer.scheduleWithFixedDelay(
                () -> added.forEach(PeriodicTasks::runAndLogFailure),
                intervalMillis,
                intervalMillis,
                TimeUnit.MILLISECONDS);
    }

    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            LOG.errorf(e, "A periodic task failed; it is run again");
        }
    }
}
