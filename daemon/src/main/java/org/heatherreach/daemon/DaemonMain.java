package org.heatherreach.daemon;

/** Entry point of {@code heatherreachd}. Stateless. */
public final class DaemonMain {
    private DaemonMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(2);
    }
}
