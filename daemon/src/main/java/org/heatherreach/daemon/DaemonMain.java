package org.heatherreach.daemon;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.heatherreach.daemon.fleet.FleetDaemon;

/** Entry point of {@code heatherreachd}. Confined to the main thread. */
public final class DaemonMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--config", description = "The settings file", required = true)
    private String config;

    @Parameter(names = "--check", description = "Check the settings and exit")
    private boolean check;

    @Parameter(names = "--help", help = true, description = "Show this help")
    private boolean help;

    private DaemonMain() {}

    /** Runs the program; the exit status is 2 for invalid arguments or settings and 1 if the daemon can't start. */
    public static void main(String[] args) {
        // These properties must be set before the first logger is created.
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        System.exit(new DaemonMain().run(args));
    }

    private int run(String[] args) {
        JCommander commander = JCommander.newBuilder()
                .addObject(this)
                .programName("heatherreachd")
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("heatherreachd: " + e.getMessage());
            return EXIT_USAGE;
        }
        if (help) {
            commander.usage();
            return 0;
        }
        Either<List<SettingsError>, DaemonSettings> settings = SettingsFile.read(Path.of(config));
        if (settings.isLeft()) {
            settings.getLeft().forEach(error -> System.err.println("heatherreachd: " + error));
            return EXIT_USAGE;
        }
        if (check) {
            System.out.println(config + ": ok");
            return 0;
        }
        return serve(settings.get());
    }

    private static int serve(DaemonSettings settings) {
        Logs.configure(settings.logFormat(), settings.logLevel());
        Runnable shutDown;
        try {
            shutDown = start(settings);
        } catch (RuntimeException e) {
            System.err.println("heatherreachd: cannot start: " + e.getMessage());
            return EXIT_FAILURE;
        }
        ShutdownHook.runUntilStopped(shutDown);
        return 0;
    }

    private static Runnable start(DaemonSettings settings) {
        if (settings.fleet().isEmpty()) {
            return new HttpDaemon(settings, StandaloneParts.of(settings))::shutDown;
        }
        return new FleetDaemon(settings, settings.fleet().get(), DaemonMain::exit)::shutDown;
    }

    /** Ends the process through its shutdown hook, in a new thread so as not to block the calling event loop. */
    private static void exit() {
        new Thread(() -> System.exit(0), "drain").start();
    }
}
