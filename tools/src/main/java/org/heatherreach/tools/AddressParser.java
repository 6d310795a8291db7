package org.heatherreach.tools;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Parses socket addresses with a numeric IP address as the host. Stateless. */
final class AddressParser {
    private static final int MAX_PORT = 65_535;

    private AddressParser() {}

    /**
     * Parses {@code HOST:PORT[,HOST:PORT...]}; host names are not resolved but rejected.
     *
     * @param option the option that the error message names
     */
    static List<InetSocketAddress> parseList(String option, String text) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String part : text.split(",")) {
            if (!part.isBlank()) {
                addresses.add(parse(option, part.trim()));
            }
        }
        return addresses;
    }

    static InetSocketAddress parse(String option, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[|]$", "");
        String port = text.substring(colon + 1);
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") || !port.matches("[0-9]{1,5}")) {
            throw new ToolException(
                    ExitCode.USAGE,
                    option + ": \"" + text + "\" must be HOST:PORT with a numeric IP address as the host");
        }
        int portNumber = Integer.parseInt(port);
        if (portNumber < 1 || portNumber > MAX_PORT) {
            throw new ToolException(ExitCode.USAGE, option + ": the port of \"" + text + "\" must be 1 to 65535");
        }
        return new InetSocketAddress(host, portNumber);
    }
}
