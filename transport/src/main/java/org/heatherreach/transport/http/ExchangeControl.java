package org.heatherreach.transport.http;

import org.heatherreach.state.outcome.RefusalReason;

/** Ends the exchange of a request from outside. Every method is called on the event loop of the caller's connection. */
interface ExchangeControl {
    /** Refuses the request because the rest of its body is malformed or does not arrive. */
    void handleBodyFault(RefusalReason reason);

    /** Refuses the request if it has not been assigned to a server, because the daemon ends before one could answer. */
    void refuseUnassigned();

    /** Answers the request now unless its response is being relayed, because the daemon ends. */
    void endNow();
}
