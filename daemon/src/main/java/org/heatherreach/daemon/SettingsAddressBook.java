package org.heatherreach.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.AddressBook;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.http.ServingGate;

/** The daemons that the settings list, and this daemon unless it is isolated or leaving. Safe for use by any thread. */
public final class SettingsAddressBook implements AddressBook {
    private final List<DaemonAddress> others;
    private final DaemonAddress own;
    private final ServingGate gate;

    /** Creates an address book; an entry with the name of this daemon is replaced by its own address. */
    public SettingsAddressBook(List<DaemonAddress> listed, DaemonAddress own, ServingGate gate) {
        this.own = Objects.requireNonNull(own, "own");
        this.gate = Objects.requireNonNull(gate, "gate");
        this.others = listed.stream()
                .filter(address -> !address.daemon().equals(own.daemon()))
                .toList();
    }

    @Override
    public List<DaemonAddress> addresses(Option<ServiceId> service) {
        List<DaemonAddress> all = new ArrayList<>();
        if (gate.isListed()) {
            all.add(own);
        }
        all.addAll(others);
        return all;
    }
}
