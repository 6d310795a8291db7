package org.heatherreach.daemon.site;

import java.util.List;

import io.vavr.control.Either;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.state.route.RoutingTable;
import org.heatherreach.transport.http.DaemonAddress;

/**
 * The formats of a site: the routing table and the server registrations in the key-value store, and the requests and
 * responses of the readiness and directory endpoints. Implementations are stateless and safe for use by any thread.
 */
public interface SiteCodec {
    /** Returns the prefix of the keys that the operator writes; {@link #tableKey} is one of them. */
    String operatorPrefix();

    /** Returns the key of the routing table. */
    String tableKey();

    /** Parses the routing table; the left value is the reason why it is invalid. */
    Either<String, RoutingTable> readTable(byte[] value);

    /** Returns the prefix of the keys under which servers register themselves. */
    String serverPrefix();

    /** Parses a server registration; the left value is the reason why it is unusable. */
    Either<String, SiteServer> readServer(KeyValue entry);

    /** Returns the path of the readiness endpoint, which the platform polls. */
    String readinessPath();

    /** Returns the path of the directory endpoint, at which callers get the addresses of daemons. */
    String directoryPath();

    /** Returns the caller's zone from the target of a directory request; blank if the target has none. */
    String callerZone(String target);

    /**
     * Encodes a directory response as JSON.
     *
     * @param keepMillis how long callers may keep the addresses
     */
    byte[] encodeAddresses(List<DaemonAddress> daemons, long keepMillis);
}
