package org.heatherreach.tools;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The environment variables and output streams of a command. Results go to standard output in the selected format;
 * progress goes to standard error, so that a pipe receives only results. Confined to the main thread.
 */
final class ToolContext {
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final PrintStream output;
    private final PrintStream errors;
    private final Map<String, String> environment;
    private final Format format;

    ToolContext(PrintStream output, PrintStream errors, Map<String, String> environment, Format format) {
        this.output = output;
        this.errors = errors;
        this.environment = environment;
        this.format = format;
    }

    String environment(String name) {
        return environment.getOrDefault(name, "");
    }

    boolean isJson() {
        return format == Format.JSON;
    }

    /** Prints a result: the lines in text format, or the document that {@code jsonWriter} fills in JSON format. */
    void print(List<String> lines, Consumer<ObjectNode> jsonWriter) {
        if (isJson()) {
            ObjectNode document = MAPPER.createObjectNode();
            jsonWriter.accept(document);
            output.println(toJson(document));
        } else {
            lines.forEach(output::println);
        }
    }

    /** Prints text without a line break at its end. */
    void printRaw(String text) {
        output.print(text);
    }

    /** Prints a line of progress to standard error, in either format. */
    void printProgress(String line) {
        errors.println(line);
    }

    /** Prints why the command failed: as a JSON document to standard output, or as text to standard error. */
    void printFailure(ToolException failure) {
        if (isJson()) {
            output.println(toJson(MAPPER.createObjectNode()
                    .put("error", failure.getMessage())
                    .put("exitCode", failure.exitCode().code())));
        } else {
            errors.println("heatherreach: " + failure.getMessage());
        }
    }

    /** Appends values as JSON. The components of a record become fields under their own names. */
    static void addAll(ArrayNode array, List<?> values) {
        values.forEach(value -> array.add(MAPPER.<com.fasterxml.jackson.databind.JsonNode>valueToTree(value)));
    }

    private static String toJson(ObjectNode document) {
        try {
            return MAPPER.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON nodes can always be written", e);
        }
    }
}
