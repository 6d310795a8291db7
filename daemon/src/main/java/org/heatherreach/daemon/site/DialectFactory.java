package org.heatherreach.daemon.site;

import java.util.function.Supplier;

import org.heatherreach.state.id.RequestId;
import org.heatherreach.transport.http.CallDialect;

/** Creates the HTTP dialect that a site's callers and servers use. */
@FunctionalInterface
public interface DialectFactory {
    /**
     * Creates the dialect.
     *
     * @param table supplies the current routing table
     * @param requestIds generates an id for a request that has none
     */
    CallDialect create(TableInUse table, Supplier<RequestId> requestIds);
}
