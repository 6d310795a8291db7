package org.heatherreach.transport.http;

import java.util.List;

/** Knows the daemons that callers may connect to. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface AddressBook {
    /** Returns the daemons that serve now; a leaving or isolated daemon isn't among them. */
    List<DaemonAddress> addresses();
}
