package org.heatherreach.standins;

/**
 * The faults of a backend stand-in that its admin endpoint switches. Immutable and safe for use by any thread.
 *
 * @param slowShare the share of requests, 0 to 1, whose service time is multiplied by {@code slowFactor}
 * @param slowFactor the factor of slow requests
 * @param errorShare the share of requests that are answered with status 500
 * @param truncateShare the share of requests whose body ends halfway with the connection closed
 * @param wrongLengthShare the share of requests whose body is longer than its declared length
 * @param stallShare the share of requests whose body stops halfway with the connection open
 * @param neverAnswer whether requests are accepted and never answered
 * @param crashOnMark whether a request with {@code Standin-Crash: true} crashes the server
 * @param crashDownMillis how long the server stays down after a crash
 * @param flapMillis the period of flapping: in every second period all requests fail; 0 for none
 * @param coldStartFactor the factor on the service time during the cold start
 * @param connectionLimit the number of connections that are accepted, or -1 for the limit of the settings
 * @param draining whether responses carry {@code Backend-Draining: true}
 * @param honourDeadlines whether work stops with status 504 when {@code Heatherreach-Timeout-Ms} has passed
 * @param healthLagMillis how old the answers of {@code /health} and {@code /load} are
 * @param healthLie a fixed status of {@code /health}, or 0 for the truth
 * @param loadLie a fixed number of slots in use of {@code /load}, or -1 for the truth
 */
public record BackendFaults(
        double slowShare,
        double slowFactor,
        double errorShare,
        double truncateShare,
        double wrongLengthShare,
        double stallShare,
        boolean neverAnswer,
        boolean crashOnMark,
        int crashDownMillis,
        int flapMillis,
        double coldStartFactor,
        int connectionLimit,
        boolean draining,
        boolean honourDeadlines,
        int healthLagMillis,
        int healthLie,
        int loadLie) {
    /** No fault; deadlines are honoured and a marked request crashes the server for one second. */
    public static final BackendFaults NONE =
            new BackendFaults(0, 10, 0, 0, 0, 0, false, true, 1000, 0, 10, -1, false, true, 0, 0, -1);
}
