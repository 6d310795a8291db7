package org.heatherreach.tools;

/**
 * The status of a daemon, as the tool could determine it. The names of the components are fields of the JSON output.
 *
 * @param address the address to which the status request was sent, as {@code HOST:PORT}
 * @param daemon its id; if it did not answer, the id under which other daemons list it or its address
 * @param incarnation its incarnation, empty if it did not answer
 * @param zone its zone, empty if it did not answer
 * @param state the state that it reports, or {@code unreachable} if it did not answer
 * @param tableVersion the table version that it has in force, or -1 if it did not answer
 */
record DaemonStatus(String address, String daemon, String incarnation, String zone, String state, long tableVersion) {
    static final String UNREACHABLE = "unreachable";

    boolean isReachable() {
        return tableVersion >= 0;
    }
}
