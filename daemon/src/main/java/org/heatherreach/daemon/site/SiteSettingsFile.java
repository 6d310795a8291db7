package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleToIntFunction;
import java.util.function.Function;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.balance.LoadMeasure;
import org.heatherreach.coordination.balance.PoolPolicy;
import org.heatherreach.coordination.quota.QuotaPartitions;
import org.heatherreach.daemon.AddressParser;
import org.heatherreach.daemon.DurationParser;
import org.heatherreach.daemon.IniSections;
import org.heatherreach.daemon.LogFormat;
import org.heatherreach.daemon.LogLevel;
import org.heatherreach.daemon.SectionReader;
import org.heatherreach.daemon.SettingsError;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

/** Reads the settings file of a daemon of a site and reports all errors together. Confined to one thread. */
public final class SiteSettingsFile {
    private static final String TIME_FORMAT = "a time such as 1500ms or 2.5s";
    private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);

    private static final long DEFAULT_CHANGE_BOUND_MILLIS = 2000;
    private static final int DEFAULT_READER_ZONE_SIZE = 24;
    private static final int DEFAULT_ERROR_RATE_ZONE_SIZE = 24;
    private static final int MAX_READER_ZONE_SIZE = 100_000;
    private static final int DEFAULT_RETRY_PERCENT = 20;
    private static final int DEFAULT_RETRY_SLACK = 50;
    private static final int DEFAULT_QUOTA_PARTITIONS = 8;
    private static final int MAX_RETRY_SLACK = 1_000_000;
    /** Makes up for decimal fractions that have no exact binary form, such as 0.29. */
    private static final double ROUNDING = 1e-9;

    private final IniSections sections;

    private SiteSettingsFile(IniSections sections) {
        this.sections = sections;
    }

    /** Reads a file; returns the settings or all errors. */
    public static Either<List<SettingsError>, SiteSettings> read(Path path) {
        return read(path, Map.of());
    }

    /**
     * Reads a file and the settings that environment variables replace; returns the settings or all errors.
     *
     * @param environment the environment variables
     */
    public static Either<List<SettingsError>, SiteSettings> read(Path path, Map<String, String> environment) {
        return IniSections.read(path, environment)
                .flatMap(sections -> sections.toResult(new SiteSettingsFile(sections).readSettings()));
    }

    private SiteSettings readSettings() {
        SectionReader daemon = sections.section("daemon");
        SectionReader listen = sections.section("listen");
        SectionReader store = sections.section("store");
        SectionReader shutdown = sections.section("shutdown");
        SectionReader retries = sections.section("retries");
        Option<QuotaSettings> quotas = readQuotas(sections.section("workspaces"));
        SectionReader log = sections.section("log");
        long routesBoundMillis = readMillis(store, "routes-within", DEFAULT_CHANGE_BOUND_MILLIS);
        SiteSettings settings = new SiteSettings(
                daemon.require("name", new DaemonId("unnamed"), "a name", nameParser(DaemonId::new)),
                daemon.require("zone", new ZoneId("unnamed"), "a name", nameParser(ZoneId::new)),
                daemon.require("region", new RegionId("unnamed"), "a name", nameParser(RegionId::new)),
                readAddress(listen, "front"),
                readAddress(listen, "readiness"),
                readAddress(listen, "directory"),
                readAddress(listen, "peer"),
                readAddress(listen, "metrics"),
                readAddress(store, "address"),
                Math.min(readMillis(store, "servers-within", DEFAULT_CHANGE_BOUND_MILLIS), routesBoundMillis),
                routesBoundMillis,
                readNumber(
                        store, "relay-zone-size", DEFAULT_READER_ZONE_SIZE, MAX_READER_ZONE_SIZE, size -> (int) size),
                readMillis(shutdown, "grace", 6_000),
                readMillis(sections.section("addresses"), "keep", 1_000),
                readNumber(
                        retries, "ratio", DEFAULT_RETRY_PERCENT, 1, ratio -> (int) Math.floor(ratio * 100 + ROUNDING)),
                readNumber(retries, "slack", DEFAULT_RETRY_SLACK, MAX_RETRY_SLACK, slack -> (int) Math.floor(slack)),
                readSwitch(retries, "urgent-first", quotas.isDefined()),
                quotas,
                readPools(sections.section("routing"), quotas.isDefined()),
                log.choice("format", LogFormat.HUMAN, LogFormat.values()),
                log.choice("level", LogLevel.INFO, LogLevel.values()));
        sections.reportUnread("");
        return settings;
    }

    /** Reads the settings of the quotas, which are not enforced if the window is absent or empty. */
    private static Option<QuotaSettings> readQuotas(SectionReader workspaces) {
        long windowMillis = readMillis(workspaces, "quota-window", 0);
        int partitions = workspaces.integer("partitions", DEFAULT_QUOTA_PARTITIONS, 1, QuotaPartitions.MAX_COUNT);
        return Option.when(windowMillis > 0, () -> new QuotaSettings(windowMillis, partitions));
    }

    private static PoolPolicy readPools(SectionReader routing, boolean hasQuotas) {
        return new PoolPolicy(
                readSwitch(routing, "by-work", false) ? LoadMeasure.EXPECTED_WORK : LoadMeasure.REQUESTS,
                readNumber(
                        routing,
                        "error-rate-zone-size",
                        hasQuotas ? 1 : DEFAULT_ERROR_RATE_ZONE_SIZE,
                        MAX_READER_ZONE_SIZE,
                        size -> (int) size),
                readSwitch(routing, "fair-share", false));
    }

    private static InetSocketAddress readAddress(SectionReader section, String key) {
        return section.require(
                key, PLACEHOLDER_ADDRESS, AddressParser.PEER_ADDRESS_FORMAT, AddressParser::addressWithPort);
    }

    private static long readMillis(SectionReader section, String key, long defaultMillis) {
        return section.read(
                key,
                defaultMillis,
                TIME_FORMAT,
                text -> text.isEmpty()
                        ? Either.right(defaultMillis)
                        : DurationParser.parseMillis(text).toEither("\"" + text + "\" is not a time"));
    }

    /** Reads a switch, which has the default if it is missing or empty. */
    private static boolean readSwitch(SectionReader section, String key, boolean isOnByDefault) {
        return section.read(key, isOnByDefault, "true or false", text -> switch (text) {
            case "true" -> Either.right(true);
            case "false" -> Either.right(false);
            case "" -> Either.right(isOnByDefault);
            default -> Either.left("\"" + text + "\" is neither true nor false");
        });
    }

    /** Reads a number from 0 to a maximum, which may have a fraction; the default holds if the value is empty. */
    private static int readNumber(
            SectionReader section, String key, int defaultValue, int max, DoubleToIntFunction convert) {
        return section.read(key, defaultValue, "a number from 0 to " + max, text -> {
            if (text.isEmpty()) {
                return Either.right(defaultValue);
            }
            try {
                double value = Double.parseDouble(text);
                return value >= 0 && value <= max
                        ? Either.right(convert.applyAsInt(value))
                        : Either.left("the value " + text + " is out of range");
            } catch (NumberFormatException e) {
                return Either.left("\"" + text + "\" is not a number");
            }
        });
    }

    private static <T> Function<String, Either<String, T>> nameParser(Function<String, T> create) {
        return text -> text.isBlank() ? Either.left("the name is blank") : Either.right(create.apply(text));
    }
}
