package org.heatherreach.daemon.site;

import java.util.EnumMap;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.quota.QuotaRefusal;

/** The counters of quotas. Safe for use by any thread. */
final class QuotaMeters {
    private final Counter askedCredits;
    private final Counter grantedCredits;
    private final Counter messages;
    private final Map<QuotaRefusal, Counter> refusals = new EnumMap<>(QuotaRefusal.class);

    QuotaMeters(MeterRegistry registry) {
        askedCredits = registry.counter("heatherreach.quota.credits.asked");
        grantedCredits = registry.counter("heatherreach.quota.credits.granted");
        messages = registry.counter("heatherreach.quota.messages");
        for (QuotaRefusal reason : QuotaRefusal.values()) {
            refusals.put(reason, registry.counter("heatherreach.quota.refusals", "reason", reason.label()));
        }
    }

    /** Counts the credits that this daemon asked for. */
    void countAsked(int credits) {
        askedCredits.increment(credits);
    }

    /** Counts the credits that this daemon received. */
    void countGranted(int credits) {
        grantedCredits.increment(credits);
    }

    /** Counts a datagram sent to another daemon. */
    void countMessage() {
        messages.increment();
    }

    void countRefusal(QuotaRefusal reason) {
        refusals.get(reason).increment();
    }
}
