package org.heatherreach.bench.detection;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One service of a site of section 1.1 of the design page, with the latency that the measurement assumes.
 * Immutable and safe for use by any thread.
 *
 * @param site the site
 * @param service the service
 * @param servers the number of servers
 * @param slots the requests that one server runs at a time
 * @param zoneLatencyNanos the one-way latency between zones
 * @param medianNanos the median time that a healthy server takes
 * @param timeoutNanos the time after which a request is given up
 */
record SiteService(
        String site,
        String service,
        int servers,
        int slots,
        long zoneLatencyNanos,
        long medianNanos,
        long timeoutNanos) {
    /** Look-ups and orders are taken as short, bulk downloads and archive look-ups as long. */
    static final List<SiteService> ALL = List.of(
            new SiteService("caroni", "benchdesk", 14, 3, micros(500), millis(20), millis(3_000)),
            new SiteService("caroni", "patternhall", 10, 3, micros(500), millis(120), millis(10_000)),
            new SiteService("tokachi", "certdesk", 20, 2, micros(1_000), millis(30), millis(3_000)),
            new SiteService("tokachi", "sheetvault", 13, 2, micros(1_000), millis(150), millis(10_000)));

    String label() {
        return site + "/" + service;
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long micros(long micros) {
        return TimeUnit.MICROSECONDS.toNanos(micros);
    }
}
