package org.heatherreach.transport.kv;

import java.util.Objects;

import org.heatherreach.protocol.kv.TableHead;

/**
 * An entry of the history. Immutable.
 *
 * @param version the revision of the store at which the table was accepted
 * @param head the change that brought it
 */
public record TableVersion(long version, TableHead head) {
    /** Creates an entry. */
    public TableVersion {
        Objects.requireNonNull(head, "head");
    }
}
