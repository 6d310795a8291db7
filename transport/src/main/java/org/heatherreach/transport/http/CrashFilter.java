package org.heatherreach.transport.http;

import org.heatherreach.state.id.ServiceId;

/**
 * Identifies requests that are suspected of crashing servers. Implementations are safe for use by any thread and never
 * block.
 */
@FunctionalInterface
public interface CrashFilter {
    /** Returns whether a request with this fingerprint is to be refused. */
    boolean refuses(ServiceId service, long fingerprint);
}
