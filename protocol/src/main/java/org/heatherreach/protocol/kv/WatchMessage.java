package org.heatherreach.protocol.kv;

import java.util.List;

/**
 * One message of a watch in progress. Immutable.
 *
 * @param revision the revision of the store
 * @param created whether the message confirms the start of the watch
 * @param canceled whether the store ended the watch
 * @param compactRevision the last revision that the store no longer keeps, if the watch asked for a revision up to it;
 *     otherwise 0
 * @param events the changes, in the order of revisions; none in a progress notification
 */
public record WatchMessage(
        long revision, boolean created, boolean canceled, long compactRevision, List<WatchEvent> events) {
    /** Creates a message. */
    public WatchMessage {
        events = List.copyOf(events);
    }
}
