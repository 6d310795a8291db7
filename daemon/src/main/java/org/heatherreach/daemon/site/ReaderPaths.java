package org.heatherreach.daemon.site;

import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Option;
import org.heatherreach.state.store.StoreRevision;

/** The names on the wire by which daemons read the keys of the store from a reader of their zone. */
final class ReaderPaths {
    static final String KEYS = "/heatherreach/keys";
    private static final String CHANGES = "/heatherreach/changes";
    private static final String AFTER = "after";
    private static final String WAIT = "wait_ms";

    private ReaderPaths() {}

    /**
     * A poll for changes.
     *
     * @param after the revision that the follower has
     * @param waitMillis the longest wait
     */
    record Poll(StoreRevision after, long waitMillis) {}

    /** Returns whether a request is for a reader. */
    static boolean isForReader(String target) {
        return target.equals(KEYS) || target.startsWith(CHANGES + "?");
    }

    /** Returns the request target of a poll. */
    static String poll(Poll poll) {
        return CHANGES + "?" + AFTER + "=" + poll.after().era() + "."
                + poll.after().revision() + "&" + WAIT + "=" + poll.waitMillis();
    }

    /** Reads the request target of a poll; empty if it is malformed. */
    static Option<Poll> readPoll(String target) {
        try {
            Map<String, List<String>> parameters = new QueryStringDecoder(target).parameters();
            String[] after = parameters.get(AFTER).get(0).split("\\.", 2);
            return Option.some(new Poll(
                    new StoreRevision(Long.parseLong(after[0]), Long.parseLong(after[1])),
                    Long.parseLong(parameters.get(WAIT).get(0))));
        } catch (RuntimeException e) {
            return Option.none();
        }
    }
}
