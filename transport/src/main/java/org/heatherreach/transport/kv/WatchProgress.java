package org.heatherreach.transport.kv;

import java.util.ArrayList;
import java.util.List;

import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.protocol.kv.WatchMessage;

/** Tracks the revision at which a watch continues after an interruption. Confined to one sequential subscription. */
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

    /** Clears the cancellation before the watch connects again. */
    void clearCanceled() {
        canceled = false;
    }

    /** Returns whether the store has canceled the watch on the present connection. */
    boolean isCanceled() {
        return canceled;
    }

    /** Counts an interruption and returns the number of consecutive interruptions. */
    int countFailure() {
        return ++failures;
    }

    /** Returns the events of a message and advances the next revision past them. */
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
            nextRevision = events.get(events.size() - 1).revision().revision() + 1;
        } else if (!message.created() || nextRevision == 0 || message.revision() < nextRevision) {
            // The confirmation of a watch that starts at a past revision comes before the changes since that revision,
            // so it doesn't mean that all changes have been reported.
            nextRevision = Math.max(nextRevision, message.revision() + 1);
            events.add(new WatchEvent.Current(message.revision()));
        }
        return events;
    }
}
