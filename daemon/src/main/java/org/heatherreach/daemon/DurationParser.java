package org.heatherreach.daemon;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Option;

/** Parses durations that are written as a number and a unit, {@code ms} or {@code s}. Stateless. */
public final class DurationParser {
    private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(ms|s)");

    private DurationParser() {}

    /** Returns the duration in milliseconds; empty if the text is not a valid duration. */
    public static Option<Long> parseMillis(String text) {
        Matcher matcher = TIME.matcher(text);
        if (!matcher.matches()) {
            return Option.none();
        }
        double number = Double.parseDouble(matcher.group(1));
        return Option.some(Math.round("s".equals(matcher.group(2)) ? number * 1000 : number));
    }
}
