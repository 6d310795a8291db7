package org.heatherreach.standins;

/** Entry point of {@code heatherreach-standin}. Stateless. */
public final class StandInMain {
    private StandInMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(2);
    }
}
