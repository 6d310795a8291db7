package org.heatherreach.daemon;

import java.util.logging.Handler;

import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;
import reactor.util.Loggers;

/** Configures logging from the settings. Safe for use by any thread. */
public final class Logs {
    private static final int QUEUE_LINES = 4096;
    private static final long CLOSE_TIMEOUT_MILLIS = 500;
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p [%c{1}] %s%e%n";

    private static volatile Thread writerThread;

    private Logs() {}

    /** Writes the queued lines and closes the log; later lines are lost. To be called before the process ends. */
    public static void close() {
        Thread thread = writerThread;
        if (thread == null) {
            return;
        }
        for (Handler handler : LogContext.getLogContext().getLogger("").getHandlers()) {
            handler.close();
        }
        try {
            // The wait is bounded, because a blocked reader of standard output must not keep the process alive.
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends all log lines to standard output in the given format. */
    public static void configure(LogFormat format, LogLevel level) {
        ConsoleHandler consoleHandler = new ConsoleHandler(
                ConsoleHandler.Target.SYSTEM_OUT,
                format == LogFormat.JSON ? new JsonFormatter() : new PatternFormatter(PATTERN));
        consoleHandler.setLevel(level.level());
        // A slow reader of standard output must never block a logging thread, so lines beyond the queue are discarded.
        AsyncHandler asyncHandler = new AsyncHandler(QUEUE_LINES, task -> {
            writerThread = new Thread(task, "log");
            writerThread.setDaemon(true);
            return writerThread;
        });
        // The writer thread must be able to write the queued lines after its queue is closed.
        asyncHandler.setCloseChildren(false);
        asyncHandler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        asyncHandler.addHandler(consoleHandler);
        org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
        root.setHandlers(new Handler[] {asyncHandler});
        root.setLevel(level.level());
        Loggers.useJdkLoggers();
        // These libraries log single connections, for which the request path has metrics.
        LogContext.getLogContext().getLogger("reactor").setLevel(LogLevel.ERROR.level());
        LogContext.getLogContext().getLogger("io.netty").setLevel(LogLevel.WARN.level());
    }
}
