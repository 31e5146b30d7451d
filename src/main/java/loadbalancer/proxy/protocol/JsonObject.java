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

/** Reads JSON objects field by field; a field of the wrong kind is named in the exception. */
public final class JsonObject {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final Map<String, Object> fields;

    private JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    public static JsonObject parse(byte[] text) {
        try {
            return new JsonObject(read(text));
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage());
            throw new IllegalArgumentException(
                    "no JSON object: " + reason.lines().findFirst().orElse(""));
        }
    }

    private static Map<String, Object> read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("no JSON object");
            }
            return object(parser);
        }
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, value(parser));
        }
        return fields;
    }

    private static List<Object> array(JsonParser parser) throws IOException {
        List<Object> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(value(parser));
        }
        return values;
    }

    /** The value whose first token the parser stands at. */
    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
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
        return of(name, String.class, "a text");
    }

    public String textOr(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    long number(String name) {
        return of(name, Number.class, "a number").longValue();
    }

    public long numberOr(String name, long absent) {
        return has(name) ? number(name) : absent;
    }

    double realOr(String name, double absent) {
        return has(name) ? of(name, Number.class, "a number").doubleValue() : absent;
    }

    boolean flag(String name) {
        return of(name, Boolean.class, "true or false");
    }

    @SuppressWarnings("unchecked")
    public JsonObject object(String name) {
        return new JsonObject(of(name, Map.class, "an object"));
    }

    @SuppressWarnings("unchecked")
    List<JsonObject> objects(String name) {
        return ((List<Object>) of(name, List.class, "a list"))
                .stream()
                        .map(o -> {
                            if (!(o instanceof Map)) {
                                throw new IllegalArgumentException("'" + name + "' holds what is no object");
                            }
                            return new JsonObject((Map<String, Object>) o);
                        })
                        .toList();
    }

    @SuppressWarnings("unchecked")
    public List<String> textsOrNone(String name) {
        return has(name)
                ? ((List<Object>) of(name, List.class, "a list"))
                        .stream().map(String::valueOf).toList()
                : List.of();
    }

    private <T> T of(String name, Class<T> type, String what) {
        Object value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException("'" + name + "' is missing");
        }
        if (!type.isInstance(value)) {
            throw new IllegalArgumentException("'" + name + "' is not " + what);
        }
        return type.cast(value);
    }

    /** All values by their paths, in the form of the simulator's pairs. */
    public Map<String, String> flat() {
        Map<String, String> out = new TreeMap<>();
        flatten("", fields, out);
        return out;
    }

    private static void flatten(String path, Object value, Map<String, String> out) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? "" + k : path + "." + k, v, out));
        } else if (value instanceof List<?> list) {
            if (list.stream().noneMatch(Map.class::isInstance)) {
                out.put(
                        path,
                        String.join(",", list.stream().map(String::valueOf).toList()));
                return;
            }
            out.put(path + ".count", "" + list.size());
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), out);
            }
        } else if (value != null) {
            out.put(path, value.toString());
        }
    }
}
