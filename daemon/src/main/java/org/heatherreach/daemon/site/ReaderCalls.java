package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;

/** Makes calls to the readers of a zone. Implementations are safe for use by any thread and don't block. */
interface ReaderCalls {
    /**
     * Begins a call; one that is in progress is cancelled.
     *
     * @param target the request target, one of {@link ReaderPaths}
     * @return cancels the call; has no effect after its end
     */
    Runnable call(InetSocketAddress reader, String target, Listener listener);

    /** Learns how a call ends. Its methods don't block. */
    interface Listener {
        /** Handles a response. */
        void completed(ReaderAnswer answer);

        /** Handles the end of a call without a response. */
        void failed(String reason);
    }
}
