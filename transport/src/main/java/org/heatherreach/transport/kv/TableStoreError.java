package org.heatherreach.transport.kv;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.table.TableProblem;

/** Why the table could not be read or changed. Immutable. */
public sealed interface TableStoreError {
    /** Returns the reason for logs and operators. */
    String reason();

    /**
     * The key-value service failed; nothing was changed.
     *
     * @param error the failure of the last call
     */
    record StoreFailed(KeyValueError error) implements TableStoreError {
        /** Creates an error. */
        public StoreFailed {
            Objects.requireNonNull(error, "error");
        }

        @Override
        public String reason() {
            return "the key-value service failed: " + error.reason();
        }
    }

    /**
     * The key-value service did not say whether the change was accepted.
     *
     * @param changeId the id of the change
     * @param error the failure of the last call
     */
    record Undetermined(String changeId, KeyValueError error) implements TableStoreError {
        /** Creates an error. */
        public Undetermined {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(error, "error");
        }

        @Override
        public String reason() {
            return "whether change " + changeId + " was accepted is not known: " + error.reason();
        }
    }

    /**
     * What the store holds is not a table.
     *
     * @param reason what is wrong
     * @param problems the rules that it breaks, if it could be read so far
     */
    record Damaged(String reason, List<TableProblem> problems) implements TableStoreError {
        /** Creates an error. */
        public Damaged {
            Objects.requireNonNull(reason, "reason");
            problems = List.copyOf(problems);
        }
    }
}
