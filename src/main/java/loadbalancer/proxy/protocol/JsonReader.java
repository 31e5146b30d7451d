package loadbalancer.proxy.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts JSON text to maps, lists, strings, numbers, booleans and nulls. The Jackson parser limits the nesting depth.
 * Stateless.
 */
final class JsonReader {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonReader() {}

    /**
     * Parses the JSON object at the beginning of {@code text}, which is in UTF-8, and returns its fields by name.
     *
     * @throws MalformedJsonException if the text does not begin with a complete JSON object
     */
    static Map<String, Object> readObject(byte[] text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedJsonException("expected a JSON object, found another JSON value or no text");
            }
            return readFields(parser);
        } catch (IOException e) {
            throw new MalformedJsonException("malformed JSON: " + firstLine(e), e);
        }
    }

    private static String firstLine(IOException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static Map<String, Object> readFields(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, readValue(parser));
        }
        return fields;
    }

    private static List<Object> readElements(JsonParser parser) throws IOException {
        List<Object> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(readValue(parser));
        }
        return elements;
    }

    /** Reads the value that starts at the current token of the parser. */
    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readFields(parser);
            case START_ARRAY -> readElements(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }
}
