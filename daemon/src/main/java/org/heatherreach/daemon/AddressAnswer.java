package org.heatherreach.daemon;

import java.util.List;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.AddressBook;
import org.heatherreach.transport.http.DaemonAddress;

/** Builds the response of the addresses endpoint. Safe for use by any thread. */
final class AddressAnswer {
    private final long keepMillis;
    private volatile AddressBook book = service -> List.of();

    AddressAnswer(long keepMillis) {
        this.keepMillis = keepMillis;
    }

    void setAddressBook(AddressBook next) {
        book = next;
    }

    /**
     * Returns the response as JSON. Names of daemons and zones are not escaped, since they are restricted to characters
     * that need no escape.
     */
    String toJson(Option<ServiceId> service, long nowEpochMillis) {
        StringBuilder json = new StringBuilder("{\"addresses\":[");
        String separator = "";
        for (DaemonAddress address : book.addresses(service)) {
            json.append(separator)
                    .append("{\"daemon\":\"")
                    .append(address.daemon())
                    .append("\",\"host\":\"")
                    .append(address.host())
                    .append("\",\"port\":")
                    .append(address.port())
                    .append(",\"zone\":\"")
                    .append(address.zone())
                    .append("\"}");
            separator = ",";
        }
        return json.append("],\"keepUntilEpochMillis\":")
                .append(nowEpochMillis + keepMillis)
                .append("}\n")
                .toString();
    }
}
