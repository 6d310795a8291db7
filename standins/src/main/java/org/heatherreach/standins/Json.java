package org.heatherreach.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON helpers of the stand-ins. Unknown fields are errors, so that a misspelt fault is not ignored. Stateless. */
final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    static JsonNode read(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    static <T> T convert(JsonNode node, Class<T> type) {
        try {
            return MAPPER.treeToValue(node, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    /** Returns a copy of the value with the given fields replaced. */
    static <T> T update(T value, JsonNode changes, Class<T> type) {
        ObjectNode merged = MAPPER.valueToTree(value);
        if (!changes.isObject()) {
            throw new IllegalArgumentException("a JSON object was expected");
        }
        changes.properties().forEach(field -> merged.set(field.getKey(), field.getValue()));
        return convert(merged, type);
    }
}
