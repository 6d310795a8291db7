package org.heatherreach.daemon;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.ProxyLimits;
import org.heatherreach.transport.http.ProxyMode;

/**
 * Reads the settings file of {@code heatherreachd} and reports all errors together. Confined to one thread.
 */
public final class SettingsFile {
    private static final String SERVICE_PREFIX = "service:";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final String NAME_FORMAT = "letters, digits, dots, underscores and hyphens, at most 128";
    private static final int MAX_TIMEOUT_MILLIS = 3_600_000;

    private final IniSections sections;

    private SettingsFile(IniSections sections) {
        this.sections = sections;
    }

    /** Reads a file; returns the settings or all errors. */
    public static Either<List<SettingsError>, DaemonSettings> read(Path path) {
        Objects.requireNonNull(path, "path");
        return IniSections.read(path).flatMap(sections -> sections.toResult(new SettingsFile(sections).readSettings()));
    }

    private DaemonSettings readSettings() {
        SectionReader daemon = section("daemon");
        DaemonId id = daemon.require("name", new DaemonId("unnamed"), NAME_FORMAT, nameParser(DaemonId::new));
        ZoneId zone = daemon.require("zone", new ZoneId("unnamed"), NAME_FORMAT, nameParser(ZoneId::new));
        RegionId region = daemon.read("region", new RegionId("default"), NAME_FORMAT, nameParser(RegionId::new));
        ProxyMode mode = daemon.choice("mode", ProxyMode.FLEET, ProxyMode.values());
        long seed = daemon.number("seed", 0, 0, Long.MAX_VALUE);
        int scheduleRingCapacity = daemon.integer("schedule_ring", 65_536, 16, 1_048_576);

        SectionReader listen = section("listen");
        InetSocketAddress address = listen.require(
                "address", new InetSocketAddress(0), AddressParser.ADDRESS_FORMAT, AddressParser::address);
        InetSocketAddress advertise =
                listen.read("advertise", address, AddressParser.ADDRESS_FORMAT, AddressParser::address);
        int processors = Runtime.getRuntime().availableProcessors();
        int ioThreads = listen.integer("io_threads", Math.max(2, Math.min(4, processors)), 1, 64);

        SectionReader addresses = section("addresses");
        var daemons =
                addresses.read("daemons", List.of(), AddressParser.NAMED_ADDRESS_LIST_FORMAT, AddressParser::daemons);
        long keepMillis = addresses.number("keep_ms", 10_000, 100, 10_000);

        SectionReader shutdown = section("shutdown");
        long quietMillis = shutdown.number("quiet_ms", 500, 10, 60_000);

        ProxyLimits limits = readLimits(section("limits"));
        SectionReader log = section("log");
        LogFormat format = log.choice("format", LogFormat.JSON, LogFormat.values());
        LogLevel level = log.choice("level", LogLevel.INFO, LogLevel.values());

        Map<ServiceId, ServiceSettings> services = readServices();
        Map<String, ServiceId> routes = readRoutes(services);
        Option<FleetSettings> fleet = readFleet(address);
        sections.reportUnread(SERVICE_PREFIX);
        return new DaemonSettings(
                id,
                zone,
                region,
                mode,
                address,
                advertise,
                ioThreads,
                scheduleRingCapacity,
                seed,
                daemons,
                keepMillis,
                quietMillis,
                limits,
                format,
                level,
                services,
                routes,
                fleet);
    }

    private Option<FleetSettings> readFleet(InetSocketAddress callerAddress) {
        boolean hasPeerSection = sections.has("peer");
        SectionReader peer = section("peer");
        SectionReader store = section("store");
        SectionReader vms = section("vms");
        if (!hasPeerSection) {
            return Option.none();
        }
        InetSocketAddress peerAddress = peer.require(
                "address", new InetSocketAddress(1), AddressParser.PEER_ADDRESS_FORMAT, AddressParser::addressWithPort);
        var seeds = peer.read("seeds", List.of(), AddressParser.ADDRESS_LIST_FORMAT, AddressParser::addresses);
        var endpoints =
                store.require("endpoints", List.of(), AddressParser.ADDRESS_LIST_FORMAT, AddressParser::addresses);
        Option<InetSocketAddress> vmList = vms.read(
                "address",
                Option.none(),
                AddressParser.PEER_ADDRESS_FORMAT,
                text -> AddressParser.addressWithPort(text).map(Option::some));
        if (callerAddress.getPort() == 0 && sections.has("listen")) {
            section("listen")
                    .addError("address", "the port is 0", "a fixed port, because peers tell callers to use it");
        }
        return Option.of(new FleetSettings(
                memberAddress(peerAddress),
                seeds.stream().map(SettingsFile::memberAddress).toList(),
                endpoints,
                vmList));
    }

    private static MemberAddress memberAddress(InetSocketAddress address) {
        return new MemberAddress(address.getAddress().getHostAddress(), address.getPort());
    }

    private static ProxyLimits readLimits(SectionReader section) {
        ProxyLimits defaults = ProxyLimits.defaults();
        return new ProxyLimits(
                section.integer("head_bytes", defaults.headBytes(), 1024, 1024 * 1024),
                section.number("body_bytes", defaults.bodyBytes(), 1, 1L << 40),
                section.integer("retained_body_bytes", defaults.retainedBodyBytes(), 1, 16 * 1024 * 1024),
                section.integer("keyed_body_bytes", defaults.keyedBodyBytes(), 1, 64 * 1024 * 1024),
                section.integer("head_timeout_ms", defaults.headTimeoutMillis(), 10, MAX_TIMEOUT_MILLIS),
                section.integer("stall_timeout_ms", defaults.stallTimeoutMillis(), 10, MAX_TIMEOUT_MILLIS),
                section.integer("connect_timeout_ms", defaults.connectTimeoutMillis(), 1, 60_000),
                section.integer("idle_timeout_ms", defaults.idleTimeoutMillis(), 100, MAX_TIMEOUT_MILLIS),
                section.integer("attempts", defaults.attempts(), 1, 10),
                section.integer("connections", defaults.connections(), 1, 1_000_000),
                true);
    }

    private Map<ServiceId, ServiceSettings> readServices() {
        Map<ServiceId, ServiceSettings> services = new LinkedHashMap<>();
        for (String name : sections.names()) {
            if (!name.startsWith(SERVICE_PREFIX)) {
                continue;
            }
            SectionReader section = section(name);
            String label = name.substring(SERVICE_PREFIX.length());
            if (!NAME.matcher(label).matches()) {
                section.addError("", "\"" + label + "\" is not a service name", NAME_FORMAT);
                continue;
            }
            ServiceId id = new ServiceId(label);
            services.put(id, readService(id, section));
        }
        return services;
    }

    private static ServiceSettings readService(ServiceId id, SectionReader section) {
        ServiceLimits limits = new ServiceLimits(
                id,
                section.integer("floor_percent", 50, 0, 100),
                section.integer("slots", 3, 1, 10_000),
                section.integer("connections", 330, 1, 100_000),
                section.integer("retry_percent", 10, 0, 100));
        Map<Rank, RankLimits> ranks = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            ranks.put(
                    rank,
                    new RankLimits(
                            rank,
                            1,
                            0,
                            section.integer(rank.label() + "_queue_limit", 1000, 1, 1_000_000),
                            section.integer(rank.label() + "_timeout_ms", 10_000, 1, MAX_TIMEOUT_MILLIS)));
        }
        return new ServiceSettings(
                limits,
                ranks,
                section.require("servers", List.of(), AddressParser.NAMED_ADDRESS_LIST_FORMAT, AddressParser::servers));
    }

    private Map<String, ServiceId> readRoutes(Map<ServiceId, ServiceSettings> services) {
        Map<String, ServiceId> routes = new LinkedHashMap<>();
        SectionReader section = section("routes");
        for (String prefix : List.copyOf(section.keys())) {
            ServiceId service = section.read(
                    prefix,
                    null,
                    "the name of a service that has a section",
                    text -> services.keySet().stream()
                            .filter(id -> id.value().equals(text))
                            .findFirst()
                            .<Either<String, ServiceId>>map(Either::right)
                            .orElseGet(() -> Either.left("\"" + text + "\" is not a configured service")));
            if (!prefix.startsWith("/")) {
                section.addError(prefix, "the key is not a path prefix", "a prefix that starts with a slash");
            } else if (service != null) {
                routes.put(prefix, service);
            }
        }
        return routes;
    }

    private SectionReader section(String name) {
        return sections.section(name);
    }

    private static <T> Function<String, Either<String, T>> nameParser(Function<String, T> create) {
        return text -> NAME.matcher(text).matches()
                ? Either.right(create.apply(text))
                : Either.left("\"" + text + "\" is not a name");
    }
}
