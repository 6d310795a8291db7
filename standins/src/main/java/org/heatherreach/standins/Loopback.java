package org.heatherreach.standins;

import java.net.InetAddress;
import java.net.UnknownHostException;

/** Restricts stand-ins to loopback addresses, since their admin endpoints have no access control. Stateless. */
final class Loopback {
    private Loopback() {}

    static void check(String host) {
        boolean loopback;
        try {
            loopback = host != null
                    && host.matches("[0-9.:]+")
                    && InetAddress.getByName(host).isLoopbackAddress();
        } catch (UnknownHostException e) {
            loopback = false;
        }
        if (!loopback) {
            throw new IllegalArgumentException(host + " is not a loopback address by IP number");
        }
    }
}
