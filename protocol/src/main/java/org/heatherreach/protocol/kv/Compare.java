package org.heatherreach.protocol.kv;

import java.util.Objects;

/**
 * A condition of a transaction on one key. A key that does not exist has the revisions and the version 0. Immutable and
 * safe for use by any thread.
 *
 * @param key the key
 * @param target the number of the key that is compared
 * @param operator the relation that must hold between the two numbers
 * @param number the number that the target is compared with
 */
public record Compare(String key, Target target, Operator operator, long number) {
    /** Creates a condition. */
    public Compare {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(operator, "operator");
    }

    /** Returns the condition that a key was last changed at a revision; revision 0 means that it must not exist. */
    public static Compare unchangedSince(String key, long modRevision) {
        return new Compare(key, Target.MOD, Operator.EQUAL, modRevision);
    }

    /** The number of the key that is compared. */
    public enum Target {
        /** The number of changes since the key was created. */
        VERSION("version"),
        /** The revision that created the key. */
        CREATE("create_revision"),
        /** The revision that last changed the key. */
        MOD("mod_revision");

        private final String field;

        Target(String field) {
            this.field = field;
        }

        String field() {
            return field;
        }
    }

    /** The relation that must hold between the two numbers. */
    public enum Operator {
        /** The numbers are equal. */
        EQUAL,
        /** The number of the key is greater. */
        GREATER,
        /** The number of the key is less. */
        LESS,
        /** The numbers differ. */
        NOT_EQUAL
    }
}
