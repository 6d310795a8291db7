package org.heatherreach.coordination.work;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;

/**
 * What is known of a request before it runs, and by which requests of similar work are recognised. Immutable and safe
 * for use by any thread.
 *
 * @param service the service
 * @param route the name of the route; empty if it is unknown or left out
 * @param workspace the workspace; empty if there is none or if it is left out
 * @param method the HTTP method; empty if it is left out
 * @param sizeClass the class of the size of the body, see {@link #sizeClassOf}
 */
public record WorkKey(ServiceId service, String route, String workspace, String method, int sizeClass) {
    /** The size class of a key that covers all sizes. */
    static final int ANY_SIZE = -2;

    private static final int UNKNOWN_SIZE = -1;
    private static final int BITS_PER_CLASS = 2;

    /** Creates a key. */
    public WorkKey {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(method, "method");
    }

    /**
     * Returns the class of a body's size: 0 for no body, then one class for each power of four.
     *
     * @param bytes the size; negative if it is not known before the body has arrived
     */
    public static int sizeClassOf(long bytes) {
        if (bytes < 0) {
            return UNKNOWN_SIZE;
        }
        return bytes == 0 ? 0 : 1 + (Long.SIZE - 1 - Long.numberOfLeadingZeros(bytes)) / BITS_PER_CLASS;
    }

    /**
     * Returns the next more general key: without the workspace, then without the size. There is none beyond that, since
     * the whole service has a distribution of its own.
     */
    Option<WorkKey> parent() {
        if (!workspace.isEmpty()) {
            return Option.some(new WorkKey(service, route, "", method, sizeClass));
        }
        return sizeClass == ANY_SIZE ? Option.none() : Option.some(new WorkKey(service, route, "", method, ANY_SIZE));
    }
}
