package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats JSON documents as text: arrays of flat objects as tables, everything else as indented lines. Stateless.
 */
final class JsonText {
    private JsonText() {}

    static List<String> format(JsonNode node) {
        List<String> lines = new ArrayList<>();
        append(node, "", lines);
        return lines;
    }

    private static void append(JsonNode node, String indent, List<String> lines) {
        if (isTable(node)) {
            formatTable(node).forEach(line -> lines.add(indent + line));
        } else if (node.isObject()) {
            node.properties().forEach(field -> appendField(field.getKey(), field.getValue(), indent, lines));
        } else if (node.isArray()) {
            node.forEach(element -> appendField("-", element, indent, lines));
        } else {
            lines.add(indent + node.asText());
        }
    }

    private static void appendField(String name, JsonNode value, String indent, List<String> lines) {
        if (value.isValueNode()) {
            lines.add(indent + name + ": " + value.asText());
        } else {
            lines.add(indent + name + ":");
            append(value, indent + "  ", lines);
        }
    }

    private static boolean isTable(JsonNode node) {
        if (!node.isArray() || node.isEmpty()) {
            return false;
        }
        for (JsonNode element : node) {
            if (!element.isObject()) {
                return false;
            }
            for (JsonNode value : element) {
                if (!value.isValueNode()) {
                    return false;
                }
            }
        }
        return true;
    }

    private static List<String> formatTable(JsonNode array) {
        Set<String> names = new LinkedHashSet<>();
        array.forEach(element -> element.fieldNames().forEachRemaining(names::add));
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.copyOf(names));
        array.forEach(element -> rows.add(
                names.stream().map(name -> element.path(name).asText("")).toList()));
        return TextTable.format(rows);
    }
}
