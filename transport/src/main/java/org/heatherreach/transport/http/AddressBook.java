package org.heatherreach.transport.http;

import java.util.List;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;

/** Knows the daemons that callers may connect to. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface AddressBook {
    /**
     * Returns daemons that serve now; a leaving or isolated daemon isn't among them.
     *
     * @param service the service that the caller is going to use, if it says so; its requests then meet at few daemons
     */
    List<DaemonAddress> addresses(Option<ServiceId> service);
}
