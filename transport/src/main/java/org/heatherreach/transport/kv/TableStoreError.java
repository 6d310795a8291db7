package org.heatherreach.transport.kv;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.table.TableProblem;

/** Why the table could not be read or changed. Immutable. */
public sealed interface TableStoreError {
    /** Returns the reason as text for logs and operators. */
    String reason();

    /**
     * A call to the key-value service failed; the table was not changed.
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
     * The change may have been accepted: the effect of its commit is unknown and could not be determined.
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
            return "it is unknown whether change " + changeId + " was accepted: " + error.reason();
        }
    }

    /**
     * The content of the store is not a valid table.
     *
     * @param reason the defect, as text for logs and operators
     * @param problems the rules that the table breaks; empty if the head or a chunk could not be read
     */
    record Damaged(String reason, List<TableProblem> problems) implements TableStoreError {
        /** Creates an error. */
        public Damaged {
            Objects.requireNonNull(reason, "reason");
            problems = List.copyOf(problems);
        }
    }
}
