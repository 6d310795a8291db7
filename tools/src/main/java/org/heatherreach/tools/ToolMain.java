package org.heatherreach.tools;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Entry point of the {@code heatherreach} command-line tool. Stateless. */
public final class ToolMain {
    private ToolMain() {}

    /** Runs the tool and ends the process with a code of {@link ExitCode}. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        // The tool reports failed connections itself; log lines of the libraries would bury its messages.
        Logger.getLogger("reactor").setLevel(Level.OFF);
        Logger.getLogger("io.netty").setLevel(Level.OFF);
        int code = new Tool(System.out, System.err, System.getenv()).run(args);
        System.out.flush();
        System.exit(code);
    }
}
