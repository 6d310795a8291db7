package org.heatherreach.daemon.site;

import java.util.function.Consumer;

import org.heatherreach.state.id.ServerId;

/** Checks whether a server accepts connections. Implementations are safe for use by any thread and must not block. */
@FunctionalInterface
interface ServerProbe {
    /** Starts a probe; the listener is called exactly once, with whether the server accepted a connection. */
    void start(ServerId server, Consumer<Boolean> listener);
}
