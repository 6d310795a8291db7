package org.heatherreach.tools;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Reads lists of addresses by IP number. Stateless. */
final class Addresses {
    private static final int PORT_LIMIT = 65_535;

    private Addresses() {}

    /** Reads {@code HOST:PORT[,HOST:PORT...]}; names are not looked up. */
    static List<InetSocketAddress> read(String option, String text) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String part : text.split(",")) {
            if (!part.isBlank()) {
                addresses.add(readOne(option, part.trim()));
            }
        }
        return addresses;
    }

    static InetSocketAddress readOne(String option, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[|]$", "");
        String port = text.substring(colon + 1);
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") || !port.matches("[0-9]{1,5}")) {
            throw new ToolException(
                    ExitCode.USAGE, option + ": \"" + text + "\" must be HOST:PORT with an IP number as host");
        }
        int number = Integer.parseInt(port);
        if (number < 1 || number > PORT_LIMIT) {
            throw new ToolException(ExitCode.USAGE, option + ": the port of \"" + text + "\" must be 1 to 65535");
        }
        return new InetSocketAddress(host, number);
    }
}
