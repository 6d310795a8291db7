package org.heatherreach.tools.log;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;

/**
 * One line of a daemon's log. Immutable and safe for use by any thread.
 *
 * @param source the name of the log file
 * @param time the timestamp of the line
 * @param message the message with its {@code name=value} fields
 */
public record LogLine(String source, Instant time, String message) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Matches anywhere in a line, since a log collector may put a prefix of its own before the timestamp. */
    private static final Pattern TEXT_LINE = Pattern.compile("(\\d{4}-\\d\\d-\\d\\dT\\S+) +[A-Z]+ +\\[\\w+] (.*)");

    private static final Pattern FIELD = Pattern.compile("(?:^| )([a-z-]+)=(\"[^\"]*\"|\\S*)");

    /** Creates a log line. */
    public LogLine {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(message, "message");
    }

    /** Parses a line in the text or JSON format; empty if it has neither format, such as a line of a stack trace. */
    public static Option<LogLine> parse(String source, String text) {
        int brace = text.indexOf('{');
        if (brace >= 0 && text.contains("\"message\"")) {
            return parseJson(source, text.substring(brace));
        }
        Matcher matcher = TEXT_LINE.matcher(text);
        return matcher.find() ? create(source, matcher.group(1), matcher.group(2)) : Option.none();
    }

    /** Returns the first value of a field; empty if the message does not have the field. */
    public Option<String> field(String name) {
        List<String> values = fields(name);
        return values.isEmpty() ? Option.none() : Option.some(values.get(0));
    }

    /** Returns all values of a field, in order; a request has one {@code server} for each server that was tried. */
    public List<String> fields(String name) {
        List<String> values = new ArrayList<>();
        Matcher matcher = FIELD.matcher(message);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                values.add(matcher.group(2));
            }
        }
        return values;
    }

    private static Option<LogLine> parseJson(String source, String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return create(
                    source,
                    node.path("timestamp").asText(),
                    node.path("message").asText());
        } catch (JsonProcessingException e) {
            // The last line of a file may be incomplete.
            return Option.none();
        }
    }

    private static Option<LogLine> create(String source, String time, String message) {
        try {
            return Option.some(new LogLine(source, OffsetDateTime.parse(time).toInstant(), message));
        } catch (DateTimeException e) {
            return Option.none();
        }
    }
}
