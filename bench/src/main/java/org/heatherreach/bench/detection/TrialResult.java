package org.heatherreach.bench.detection;

/**
 * What one trial showed. Immutable and safe for use by any thread.
 *
 * @param detectNanos the time from the onset of the fault until no daemon concerned uses the server; the length of the
 *     trial after the onset if that did not happen
 * @param detected whether that happened
 * @param harmedRequests requests sent to the faulty server while it was faulty
 * @param mistakenEjections ejections of healthy servers, each daemon counted with its share of the daemons
 * @param minUsableServers the smallest number of servers that any daemon had in use
 * @param floorBreaches how often a daemon had fewer servers in use than the floor after a change
 * @param badUsePercent the mean share that the faulty server kept while it was faulty
 * @param outliers the daemons told that they are outliers
 * @param servedRequests requests that got their whole response
 * @param refusedRequests requests for which no slot was free
 */
record TrialResult(
        long detectNanos,
        boolean detected,
        long harmedRequests,
        double mistakenEjections,
        int minUsableServers,
        long floorBreaches,
        double badUsePercent,
        int outliers,
        long servedRequests,
        long refusedRequests) {}
