package org.heatherreach.daemon;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

import io.vavr.control.Either;

/**
 * Reads the keys of one section and collects all errors. A key that has not been requested when {@link #reportUnread}
 * is called is an error. Confined to one thread.
 */
public final class SectionReader {
    private final String file;
    private final String section;
    private final Map<String, List<String>> values;
    private final List<SettingsError> errors;
    private final Set<String> requestedKeys = new HashSet<>();

    SectionReader(String file, String section, Map<String, List<String>> values, List<SettingsError> errors) {
        this.file = Objects.requireNonNull(file, "file");
        this.section = Objects.requireNonNull(section, "section");
        this.values = new LinkedHashMap<>(values);
        this.errors = Objects.requireNonNull(errors, "errors");
    }

    Set<String> keys() {
        return values.keySet();
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    /** Returns the parsed value, or the default if the key is absent or its value is invalid. */
    public <T> T read(String key, T defaultValue, String expected, Function<String, Either<String, T>> parser) {
        requestedKeys.add(key);
        List<String> given = values.get(key);
        if (given == null) {
            return defaultValue;
        }
        if (given.size() > 1) {
            addError(key, "the key is given " + given.size() + " times", "one value");
            return defaultValue;
        }
        Either<String, T> parsed = parser.apply(given.get(0).strip());
        if (parsed.isLeft()) {
            addError(key, parsed.getLeft(), expected);
            return defaultValue;
        }
        return parsed.get();
    }

    /**
     * Reads a mandatory key; returns the fallback after adding an error if the key is absent or its value is invalid.
     */
    public <T> T require(String key, T fallback, String expected, Function<String, Either<String, T>> parser) {
        if (!has(key)) {
            requestedKeys.add(key);
            addError(key, "the key is missing", expected);
            return fallback;
        }
        return read(key, fallback, expected, parser);
    }

    /** Reads a whole number in a range. */
    public int integer(String key, int defaultValue, int min, int max) {
        return (int) number(key, defaultValue, min, max);
    }

    /** Reads a whole number in a range. */
    public long number(String key, long defaultValue, long min, long max) {
        return read(key, defaultValue, "a whole number from " + min + " to " + max, text -> {
            try {
                long value = Long.parseLong(text);
                return value >= min && value <= max
                        ? Either.right(value)
                        : Either.left("the value " + value + " is out of range");
            } catch (NumberFormatException e) {
                return Either.left("\"" + text + "\" is not a whole number");
            }
        });
    }

    /** Reads one of the constants of an enum, written in lower case. */
    public <T extends Enum<T>> T choice(String key, T defaultValue, T[] choices) {
        List<String> labels = new ArrayList<>();
        for (T choice : choices) {
            labels.add(label(choice));
        }
        return read(key, defaultValue, "one of " + String.join(", ", labels), text -> {
            int index = labels.indexOf(text);
            return index >= 0 ? Either.right(choices[index]) : Either.left("\"" + text + "\" is not a valid choice");
        });
    }

    private static String label(Enum<?> choice) {
        return choice.name().toLowerCase(Locale.ROOT);
    }

    void addError(String key, String problem, String expected) {
        errors.add(new SettingsError(file, section, key, problem, expected));
    }

    /** Adds an error for each key that was not requested. */
    void reportUnread() {
        for (String key : values.keySet()) {
            if (!requestedKeys.contains(key)) {
                addError(
                        key,
                        "unknown key",
                        "one of "
                                + String.join(
                                        ", ", requestedKeys.stream().sorted().toList()));
            }
        }
    }
}
