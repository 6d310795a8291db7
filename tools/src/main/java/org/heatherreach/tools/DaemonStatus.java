package org.heatherreach.tools;

/**
 * What is known of one daemon.
 *
 * @param address where it was asked, as {@code HOST:PORT}
 * @param daemon its id, or the id under which others list it
 * @param incarnation its incarnation, empty if it did not answer
 * @param zone its zone, empty if it did not answer
 * @param state its own state, or {@code unreachable}
 * @param tableVersion the version that it has in force, or -1 if it did not answer
 */
record DaemonStatus(String address, String daemon, String incarnation, String zone, String state, long tableVersion) {
    static final String UNREACHABLE = "unreachable";

    boolean isReachable() {
        return tableVersion >= 0;
    }
}
