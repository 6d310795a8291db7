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
 * Where a command reads its environment and prints. Results go to the output in the wanted format; progress goes to the
 * error stream, so that a pipe receives results only. Confined to the main thread.
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

    /** Prints a result: the lines, or the document. */
    void print(List<String> lines, Consumer<ObjectNode> document) {
        if (isJson()) {
            ObjectNode node = MAPPER.createObjectNode();
            document.accept(node);
            output.println(write(node));
        } else {
            lines.forEach(output::println);
        }
    }

    /** Prints text as it is. */
    void printRaw(String text) {
        output.print(text);
    }

    /** Prints progress for people. */
    void progress(String line) {
        errors.println(line);
    }

    /** Prints why the command failed. */
    void fail(ToolException failure) {
        if (isJson()) {
            output.println(write(MAPPER.createObjectNode()
                    .put("error", failure.getMessage())
                    .put("exitCode", failure.exitCode().code())));
        } else {
            errors.println("heatherreach: " + failure.getMessage());
        }
    }

    static void addAll(ArrayNode array, List<?> values) {
        values.forEach(value -> array.add(MAPPER.<com.fasterxml.jackson.databind.JsonNode>valueToTree(value)));
    }

    private static String write(ObjectNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON nodes can always be written", e);
        }
    }
}
