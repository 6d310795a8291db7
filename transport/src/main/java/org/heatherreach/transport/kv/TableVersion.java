package org.heatherreach.transport.kv;

import java.util.Objects;

import org.heatherreach.protocol.kv.TableHead;

/**
 * A head of the table with its version, such as an entry of the history. Immutable.
 *
 * @param version the revision of the store at which the table was accepted
 * @param head the head that the change wrote, with its author, comment and chunks
 */
public record TableVersion(long version, TableHead head) {
    /** Creates an entry. */
    public TableVersion {
        Objects.requireNonNull(head, "head");
    }
}
