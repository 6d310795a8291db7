package org.heatherreach.transport.kv;

import java.util.ArrayList;
import java.util.List;

import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.protocol.kv.WatchMessage;

/** Where a watch continues after an interruption. Confined to one subscription, which is sequential. */
final class WatchProgress {
    private long nextRevision;
    private int failures;
    private boolean canceled;

    WatchProgress(long startRevision) {
        nextRevision = startRevision;
    }

    long nextRevision() {
        return nextRevision;
    }

    /** Forgets that the store ended the watch before. */
    void restart() {
        canceled = false;
    }

    /** Returns whether the store has ended the watch. */
    boolean isCanceled() {
        return canceled;
    }

    /** Counts an interruption and returns how many there were in a row. */
    int countFailure() {
        return ++failures;
    }

    /** Returns the events of a message and moves on behind them. */
    List<WatchEvent> accept(WatchMessage message) {
        List<WatchEvent> events = new ArrayList<>(message.events());
        if (message.canceled()) {
            canceled = true;
            if (message.compactRevision() > 0) {
                nextRevision = message.compactRevision() + 1;
                events.add(new WatchEvent.Compacted(message.compactRevision()));
            }
            return events;
        }
        failures = 0;
        if (!events.isEmpty()) {
            nextRevision = events.get(events.size() - 1).revision() + 1;
        } else if (!message.created() || nextRevision == 0 || message.revision() < nextRevision) {
            // The confirmation of a watch that starts in the past comes before the past changes.
            nextRevision = Math.max(nextRevision, message.revision() + 1);
            events.add(new WatchEvent.Current(message.revision()));
        }
        return events;
    }
}
