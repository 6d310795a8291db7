package org.heatherreach.transport.http;

import java.util.List;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;

/** Lists the daemons that callers may connect to. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface AddressBook {
    /**
     * Returns daemons that currently serve requests, without daemons that are leaving or isolated.
     *
     * @param service the service that the caller is going to use, if it names one; its requests are then concentrated
     *     on few daemons
     */
    List<DaemonAddress> addresses(Option<ServiceId> service);
}
