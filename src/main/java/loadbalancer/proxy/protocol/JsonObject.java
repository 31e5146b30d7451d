package loadbalancer.proxy.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A JSON object that is read field by field. Fields that nobody reads are ignored, and {@code null} counts as absent.
 * Every reader throws {@link MalformedJsonException}, which names the field, where it is absent without a default or of
 * another kind. Immutable.
 */
public final class JsonObject {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final Map<String, Object> fields;

    private JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /** Reads one object in UTF-8; anything else is a {@link MalformedJsonException}. */
    public static JsonObject parse(byte[] text) {
        try {
            return new JsonObject(read(text));
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage());
            throw new MalformedJsonException(
                    "no JSON object: " + reason.lines().findFirst().orElse(""));
        }
    }

    private static Map<String, Object> read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedJsonException("no JSON object");
            }
            return readObject(parser);
        }
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, readValue(parser));
        }
        return fields;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(readValue(parser));
        }
        return values;
    }

    /** The value whose first token the parser stands at. */
    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    public boolean has(String name) {
        return fields.get(name) != null;
    }

    public String text(String name) {
        return field(name, String.class, "a text");
    }

    public String textOr(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    long number(String name) {
        return field(name, Number.class, "a number").longValue();
    }

    public long numberOr(String name, long defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    double realOr(String name, double defaultValue) {
        return has(name) ? field(name, Number.class, "a number").doubleValue() : defaultValue;
    }

    boolean flag(String name) {
        return field(name, Boolean.class, "true or false");
    }

    @SuppressWarnings("unchecked")
    public JsonObject object(String name) {
        return new JsonObject(field(name, Map.class, "an object"));
    }

    @SuppressWarnings("unchecked")
    List<JsonObject> objects(String name) {
        return ((List<Object>) field(name, List.class, "a list"))
                .stream()
                        .map(element -> {
                            if (!(element instanceof Map)) {
                                throw new MalformedJsonException("'" + name + "' holds what is no object");
                            }
                            return new JsonObject((Map<String, Object>) element);
                        })
                        .toList();
    }

    @SuppressWarnings("unchecked")
    public List<String> textsOrNone(String name) {
        return has(name)
                ? ((List<Object>) field(name, List.class, "a list"))
                        .stream().map(String::valueOf).toList()
                : List.of();
    }

    private <T> T field(String name, Class<T> type, String kind) {
        Object value = fields.get(name);
        if (value == null) {
            throw new MalformedJsonException("'" + name + "' is missing");
        }
        if (!type.isInstance(value)) {
            throw new MalformedJsonException("'" + name + "' is not " + kind);
        }
        return type.cast(value);
    }

    /**
     * All values by their paths: {@code a.b} for a field in an object, {@code a.0.b} and {@code a.count} for a list of
     * objects, one text with commas for a list of plain values.
     */
    public Map<String, String> flat() {
        Map<String, String> values = new TreeMap<>();
        flatten("", fields, values);
        return values;
    }

    private static void flatten(String path, Object value, Map<String, String> values) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, field) -> flatten(path.isEmpty() ? "" + name : path + "." + name, field, values));
        } else if (value instanceof List<?> list) {
            if (list.stream().noneMatch(Map.class::isInstance)) {
                values.put(
                        path,
                        String.join(",", list.stream().map(String::valueOf).toList()));
                return;
            }
            values.put(path + ".count", "" + list.size());
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), values);
            }
        } else if (value != null) {
            values.put(path, value.toString());
        }
    }
}
