package loadbalancer.proxy.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
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
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private JsonReader() {}

    /**
     * Parses {@code text}, which is in UTF-8, and returns the fields of its JSON object by name.
     *
     * @throws MalformedJsonException if the text is not exactly one JSON object, or if an object has two fields of the
     *     same name
     */
    static Map<String, Object> readObject(byte[] text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedJsonException("expected a JSON object, found another JSON value or no text");
            }
            Map<String, Object> fields = readFields(parser);
            if (parser.nextToken() != null) {
                throw new MalformedJsonException("expected one JSON object, found more text after it");
            }
            return fields;
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
