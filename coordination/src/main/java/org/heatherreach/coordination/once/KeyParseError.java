package org.heatherreach.coordination.once;

/** Why a text is no execution key. Immutable and safe for use by any thread. */
public enum KeyParseError {
    /** The text does not start with the prefix of this version of keys. */
    PREFIX,
    /** The text has characters outside the alphabet of keys, or is longer than any key. */
    ALPHABET,
    /** The checksum does not match, so the text was damaged. */
    CHECKSUM,
    /** The checksum matches but the fields are incomplete or out of range. */
    FIELDS
}
