package org.heatherreach.coordination.atmostonce;

/** Why a text is not a valid execution key. Immutable and safe for use by any thread. */
public enum KeyParseError {
    /** The text does not start with the prefix of the supported key version. */
    PREFIX,
    /** The text is not in the canonical Base64 form, or is longer than any key. */
    ALPHABET,
    /** The checksum does not match, so the text was damaged. */
    CHECKSUM,
    /** The checksum matches but the fields are incomplete or out of range. */
    FIELDS
}
