package org.heatherreach.daemon.fleet;

import java.util.Locale;
import java.util.Objects;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.transport.http.EndpointResponse;
import org.heatherreach.transport.http.ServingGate;

/** Builds the response of the status endpoint. Safe for use by any thread. */
final class FleetStatus {
    private final ObjectMapper mapper = new ObjectMapper();
    private final MemberDirectory directory;
    private final TableCatalog catalog;
    private final TableDuty tableDuty;
    private final ServingGate gate;

    FleetStatus(MemberDirectory directory, TableCatalog catalog, TableDuty tableDuty, ServingGate gate) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.tableDuty = Objects.requireNonNull(tableDuty, "tableDuty");
        this.gate = Objects.requireNonNull(gate, "gate");
    }

    EndpointResponse answer() {
        Member self = directory.self();
        ObjectNode status = mapper.createObjectNode()
                .put("daemon", self.daemon().value())
                .put("incarnation", self.incarnation().toString())
                .put("zone", self.zone().value())
                .put("region", self.region().value())
                .put("tableVersion", catalog.version())
                .put("storeStatus", tableDuty.storeStatus().name().toLowerCase(Locale.ROOT))
                .put("state", gate.label());
        ArrayNode members = status.putArray("members");
        for (Member member : directory.view().reachable()) {
            boolean isSelf = member.incarnation().equals(self.incarnation());
            members.addObject()
                    .put("daemon", member.daemon().value())
                    .put("incarnation", member.incarnation().toString())
                    .put("zone", member.zone().value())
                    .put("host", member.address().host())
                    .put("callerPort", member.callerPort())
                    .put("peerPort", member.address().port())
                    .put("state", member.state().name().toLowerCase(Locale.ROOT))
                    .put("tableVersion", isSelf ? catalog.version() : member.tableVersion());
        }
        return EndpointResponse.json(200, status + "\n");
    }
}
