package loadbalancer.proxy.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A JSON object whose fields are read by name. Fields that are not read are ignored, and a field with the value
 * {@code null} counts as absent. Each method that reads a field throws a {@link MalformedJsonException} that names the
 * field if its value has another type, or if the field is absent and has no default. Immutable.
 */
public final class JsonObject {
    private final Map<String, Object> fields;

    private JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /**
     * Parses a JSON object from text in UTF-8.
     *
     * @throws MalformedJsonException if the text is not exactly one JSON object, or if an object has two fields of the
     *     same name
     */
    public static JsonObject parse(byte[] text) {
        return new JsonObject(JsonReader.readObject(text));
    }

    /** Returns whether the object has a field of this name whose value is not {@code null}. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** Returns the string in a required field. */
    public String string(String name) {
        return requiredField(name, String.class, "a string");
    }

    /** Returns the string in a field, or {@code defaultValue} if the field is absent. */
    public String stringOr(String name, String defaultValue) {
        return has(name) ? string(name) : defaultValue;
    }

    /** Returns the number in a required field, without its fraction. */
    long integer(String name) {
        return requiredField(name, Number.class, "a number").longValue();
    }

    /** Returns the number in a field without its fraction, or {@code defaultValue} if the field is absent. */
    public long integerOr(String name, long defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** Returns the number in a field with its fraction, or {@code defaultValue} if the field is absent. */
    double decimalOr(String name, double defaultValue) {
        return has(name) ? requiredField(name, Number.class, "a number").doubleValue() : defaultValue;
    }

    /** Returns the boolean in a required field. */
    boolean flag(String name) {
        return requiredField(name, Boolean.class, "true or false");
    }

    /** Returns the object in a required field. */
    @SuppressWarnings("unchecked")
    public JsonObject object(String name) {
        return new JsonObject(requiredField(name, Map.class, "an object"));
    }

    /** Returns the elements of a required field that is an array of objects. */
    @SuppressWarnings("unchecked")
    List<JsonObject> objects(String name) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof Map)) {
                throw new MalformedJsonException("field '" + name + "' has an element that is not an object");
            }
            objects.add(new JsonObject((Map<String, Object>) element));
        }
        return objects;
    }

    /** Returns the elements of an array, converted to strings, or an empty list if the field is absent. */
    public List<String> stringsOrEmpty(String name) {
        List<String> strings = new ArrayList<>();
        if (has(name)) {
            for (Object element : list(name)) {
                strings.add(String.valueOf(element));
            }
        }
        return strings;
    }

    private List<?> list(String name) {
        return requiredField(name, List.class, "an array");
    }

    private <T> T requiredField(String name, Class<T> type, String typeName) {
        Object value = fields.get(name);
        if (value == null) {
            throw new MalformedJsonException("field '" + name + "' is missing");
        }
        if (!type.isInstance(value)) {
            throw new MalformedJsonException("field '" + name + "' is not " + typeName);
        }
        return type.cast(value);
    }

    /**
     * Returns the values of all fields, including those of nested objects, by path. The field {@code b} of the object
     * {@code a} has the path {@code a.b}. An array {@code a} of objects has paths such as {@code a.0.b}, and its length
     * has the path {@code a.count}. An array without objects becomes one string, in which commas separate the elements.
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
        if (!containsObject(list)) {
            values.put(path, joinWithCommas(list));
            return;
        }
        values.put(path + ".count", "" + list.size());
        for (int i = 0; i < list.size(); i++) {
            flatten(path + "." + i, list.get(i), values);
        }
    }

    private static boolean containsObject(List<?> list) {
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
