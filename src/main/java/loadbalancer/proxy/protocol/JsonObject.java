package loadbalancer.proxy.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A JSON object that is read field by field. Unknown fields are ignored, and {@code null} counts as absent. Each method
 * that reads a field throws a {@link MalformedJsonException} that names the field if its value is of another kind, or
 * if it is absent and there is no default. Immutable.
 */
public final class JsonObject {
    private final Map<String, Object> fields;

    private JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /**
     * Reads one object from text in UTF-8.
     *
     * @throws MalformedJsonException if the text is not a JSON object
     */
    public static JsonObject parse(byte[] text) {
        return new JsonObject(JsonReader.readObject(text));
    }

    /** Whether there is a field of this name whose value is not {@code null}. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** A required string. */
    public String text(String name) {
        return field(name, String.class, "a text");
    }

    /** A string, or the default if it is absent. */
    public String textOr(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /** A required number, without its fraction. */
    long number(String name) {
        return field(name, Number.class, "a number").longValue();
    }

    /** A number without its fraction, or the default if it is absent. */
    public long numberOr(String name, long defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** A number with its fraction, or the default if it is absent. */
    double realOr(String name, double defaultValue) {
        return has(name) ? field(name, Number.class, "a number").doubleValue() : defaultValue;
    }

    /** A required boolean. */
    boolean flag(String name) {
        return field(name, Boolean.class, "true or false");
    }

    /** A required object. */
    @SuppressWarnings("unchecked")
    public JsonObject object(String name) {
        return new JsonObject(field(name, Map.class, "an object"));
    }

    /** A required list of objects. */
    @SuppressWarnings("unchecked")
    List<JsonObject> objects(String name) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof Map)) {
                throw new MalformedJsonException("'" + name + "' holds what is no object");
            }
            objects.add(new JsonObject((Map<String, Object>) element));
        }
        return objects;
    }

    /** The elements of a list as strings; empty if the list is absent. */
    public List<String> textsOrNone(String name) {
        List<String> texts = new ArrayList<>();
        if (has(name)) {
            for (Object element : list(name)) {
                texts.add(String.valueOf(element));
            }
        }
        return texts;
    }

    private List<?> list(String name) {
        return field(name, List.class, "a list");
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
     * Returns all values by their paths. The path of a field in an object is {@code a.b}. A list of objects has paths
     * such as {@code a.0.b}, and {@code a.count} for its length. A list of plain values becomes one string, joined by
     * commas.
     */
    public Map<String, String> flattened() {
        Map<String, String> values = new TreeMap<>();
        flatten("", fields, values);
        return values;
    }

    private static void flatten(String path, Object value, Map<String, String> values) {
        if (value instanceof Map<?, ?> object) {
            for (Map.Entry<?, ?> field : object.entrySet()) {
                flatten(path.isEmpty() ? "" + field.getKey() : path + "." + field.getKey(), field.getValue(), values);
            }
        } else if (value instanceof List<?> list) {
            flattenList(path, list, values);
        } else if (value != null) {
            values.put(path, value.toString());
        }
    }

    private static void flattenList(String path, List<?> list, Map<String, String> values) {
        if (!holdsObject(list)) {
            values.put(path, joinWithCommas(list));
            return;
        }
        values.put(path + ".count", "" + list.size());
        for (int i = 0; i < list.size(); i++) {
            flatten(path + "." + i, list.get(i), values);
        }
    }

    private static boolean holdsObject(List<?> list) {
        for (Object element : list) {
            if (element instanceof Map) {
                return true;
            }
        }
        return false;
    }

    private static String joinWithCommas(List<?> list) {
        StringBuilder joined = new StringBuilder();
        for (int i = 0; i < list.size(); i++) {
            joined.append(i == 0 ? "" : ",").append(list.get(i));
        }
        return joined.toString();
    }
}
