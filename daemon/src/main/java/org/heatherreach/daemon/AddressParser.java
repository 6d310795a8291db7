package org.heatherreach.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.DaemonAddress;

/** Parses the addresses in settings files. Stateless. */
public final class AddressParser {
    /** The format that {@link #address} accepts. */
    static final String ADDRESS_FORMAT = "IP:PORT, with IPv6 addresses in brackets";
    /** The format that {@link #addressWithPort} accepts. */
    public static final String PEER_ADDRESS_FORMAT = "IP:PORT with a port other than 0";
    /** The format that {@link #addresses} accepts. */
    static final String ADDRESS_LIST_FORMAT = "one or more IP:PORT, separated by commas";
    /** The format that {@link #servers} and {@link #daemons} accept. */
    static final String NAMED_ADDRESS_LIST_FORMAT = "NAME@IP:PORT/ZONE, separated by commas";

    private static final Pattern ADDRESS = Pattern.compile("(?:\\[([0-9a-fA-F:.]+)]|([0-9.]+)):([0-9]{1,5})");
    private static final Pattern NAMED_ADDRESS = Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*)@(.+)/([A-Za-z0-9._-]+)");

    private AddressParser() {}

    /** Parses an address. A host name instead of an IP address is an error, because host names are never resolved. */
    static Either<String, InetSocketAddress> address(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return Either.left("\"" + text + "\" is not an address");
        }
        int port = Integer.parseInt(matcher.group(3));
        if (port > 65_535) {
            return Either.left("the port " + port + " is out of range");
        }
        String host = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
        if (matcher.group(2) != null && !isIpv4(host)) {
            return Either.left("\"" + host + "\" is not an IP address");
        }
        try {
            return Either.right(new InetSocketAddress(InetAddress.getByName(host), port));
        } catch (UnknownHostException e) {
            return Either.left("\"" + host + "\" is not an IP address");
        }
    }

    /** Parses an address that other processes connect to, so its port must not be 0. */
    public static Either<String, InetSocketAddress> addressWithPort(String text) {
        return address(text)
                .flatMap(address -> address.getPort() == 0 ? Either.left("the port is 0") : Either.right(address));
    }

    static Either<String, List<InetSocketAddress>> addresses(String text) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            Either<String, InetSocketAddress> address = addressWithPort(part.strip());
            if (address.isLeft()) {
                return Either.left(address.getLeft());
            }
            addresses.add(address.get());
        }
        return Either.right(addresses);
    }

    static Either<String, List<BackendServer>> servers(String text) {
        return namedAddresses(text)
                .map(entries -> entries.stream()
                        .map(entry -> new BackendServer(
                                new ServerId(entry.name()), entry.address(), new ZoneId(entry.zone())))
                        .toList());
    }

    static Either<String, List<DaemonAddress>> daemons(String text) {
        return namedAddresses(text)
                .map(entries -> entries.stream()
                        .map(entry -> new DaemonAddress(
                                new DaemonId(entry.name()),
                                entry.address().getAddress().getHostAddress(),
                                entry.address().getPort(),
                                new ZoneId(entry.zone())))
                        .toList());
    }

    private static Either<String, List<NamedAddress>> namedAddresses(String text) {
        List<NamedAddress> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        if (text.isEmpty()) {
            return Either.right(entries);
        }
        for (String part : text.split(",", -1)) {
            Matcher matcher = NAMED_ADDRESS.matcher(part.strip());
            if (!matcher.matches()) {
                return Either.left("\"" + part.strip() + "\" is not of the form NAME@IP:PORT/ZONE");
            }
            if (!names.add(matcher.group(1))) {
                return Either.left("\"" + matcher.group(1) + "\" is given twice");
            }
            Either<String, InetSocketAddress> address = address(matcher.group(2));
            if (address.isLeft()) {
                return Either.left(address.getLeft());
            }
            if (address.get().getPort() == 0) {
                return Either.left("the port of \"" + part.strip() + "\" is 0");
            }
            entries.add(new NamedAddress(matcher.group(1), address.get(), matcher.group(3)));
        }
        return Either.right(entries);
    }

    private static boolean isIpv4(String host) {
        String[] parts = host.split("\\.", -1);
        if (parts.length != 4) {
            return false;
        }
        for (String part : parts) {
            if (part.isEmpty() || part.length() > 3 || Integer.parseInt(part) > 255) {
                return false;
            }
        }
        return true;
    }

    private record NamedAddress(String name, InetSocketAddress address, String zone) {}
}
