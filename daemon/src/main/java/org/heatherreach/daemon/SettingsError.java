package org.heatherreach.daemon;

import java.util.Objects;

/**
 * An error in a settings file. Immutable and safe for use by any thread.
 *
 * @param file the file
 * @param section the section, or an empty string if the error concerns the whole file
 * @param key the key, or an empty string if the error concerns the whole section
 * @param problem what is wrong
 * @param expected what was expected
 */
public record SettingsError(String file, String section, String key, String problem, String expected) {
    public SettingsError {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(problem, "problem");
        Objects.requireNonNull(expected, "expected");
    }

    /** Returns the error message for the operator, in one line. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file).append(": ");
        if (!section.isEmpty()) {
            text.append('[').append(section).append("] ");
        }
        if (!key.isEmpty()) {
            text.append(key).append(": ");
        }
        return text.append(problem).append("; expected ").append(expected).toString();
    }
}
