package org.heatherreach.daemon;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.transport.http.AddressBook;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.http.ExchangeObserver;
import org.heatherreach.transport.http.LocalScheduler;
import org.heatherreach.transport.http.NaiveScheduler;
import org.heatherreach.transport.http.ProxyMode;
import org.heatherreach.transport.http.RequestHistory;
import org.heatherreach.transport.http.RequestScheduler;
import org.heatherreach.transport.http.ServingGate;

/** Creates the components of a standalone daemon, which uses its settings only and has no peers. Stateless. */
public final class StandaloneParts {
    private StandaloneParts() {}

    /** Creates the components for the given settings. */
    public static DaemonParts of(DaemonSettings settings) {
        ServingGate gate = new ServingGate();
        SettingsCatalog catalog = new SettingsCatalog(settings);
        RequestScheduler scheduler = scheduler(settings, catalog);
        IncarnationId incarnation =
                new IncarnationId(ThreadLocalRandom.current().nextLong());
        settings.services().forEach((service, entry) -> scheduler.changeServers(service, entry.servers()));
        return new DaemonParts(
                new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                gate,
                incarnation,
                catalog,
                scheduler,
                port -> addressBook(settings, gate, port),
                Option.none(),
                ExchangeObserver.NONE,
                (service, fingerprint) -> false,
                new RequestIdSource(incarnation),
                new RequestHistory(RequestHistory.STANDARD_ENTRIES),
                Map.of());
    }

    private static AddressBook addressBook(DaemonSettings settings, ServingGate gate, int boundPort) {
        InetSocketAddress advertised = settings.advertise();
        int port = advertised.getPort() != 0 ? advertised.getPort() : boundPort;
        DaemonAddress own =
                new DaemonAddress(settings.daemon(), advertised.getAddress().getHostAddress(), port, settings.zone());
        return new SettingsAddressBook(settings.addresses(), own, gate);
    }

    private static RequestScheduler scheduler(DaemonSettings settings, SettingsCatalog catalog) {
        long seed = seedOf(settings);
        return settings.mode() == ProxyMode.NAIVE
                ? new NaiveScheduler(new Random(seed))
                : new LocalScheduler(catalog, new SplittableRandom(seed), settings.scheduleRingCapacity());
    }

    private static long seedOf(DaemonSettings settings) {
        return settings.seed() != 0
                ? settings.seed()
                : ThreadLocalRandom.current().nextLong();
    }
}
