package loadbalancer.proxy.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectTest {
    private static JsonObject parse(String text) {
        return JsonObject.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsEachTypeOfValue() {
        JsonObject json = parse(
                " {\n \"a\" : {\"b\":[1,-2.5e1,\"x\\u00e9\",true,null,[]]}, \"n\":null, \"big\":9007199254740993,\n"
                        + "\"list\":[{\"i\":1},{\"i\":2}],\"flag\":false,\"texts\":[\"p\",\"q\"]}");
        assertEquals(
                "1,-25.0,x\u00e9,true,null,[]", json.object("a").flattened().get("b"));
        assertFalse(json.has("n"));
        assertEquals(9_007_199_254_740_993L, json.integer("big"));
        assertEquals(
                List.of(1L, 2L),
                json.objects("list").stream()
                        .map(element -> element.integer("i"))
                        .toList());
        assertFalse(json.flag("flag"));
        assertEquals(List.of("p", "q"), json.stringsOrEmpty("texts"));
        assertEquals("2", json.flattened().get("list.count"));
    }

    /** Callers handle only MalformedJsonException, so text that is truncated at any point must cause it. */
    @Test
    void rejectsMalformedText() {
        String complete = "{\"a\":[1,{\"b\":\"c\"}],\"d\":true}";
        for (int cut = 0; cut < complete.length(); cut++) {
            String text = complete.substring(0, cut);
            assertThrows(MalformedJsonException.class, () -> parse(text), text);
        }
        for (String text : List.of(
                "[]", "1", "null", "{\"a\":}", "{a:1}", "{\"a\":1,}", "[".repeat(5_000), "{\"a\":".repeat(5_000))) {
            assertThrows(MalformedJsonException.class, () -> parse(text), text);
        }
    }
}
