package loadbalancer.proxy.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class HeaderValuesTest {
    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern HEX = Pattern.compile("[0-9a-fA-F]{1,16}");
    private static final Pattern REQUEST_TARGET = Pattern.compile("/[\\x21-\\x7e]{0,4095}");

    /** The random texts come from a fixed seed; the lengths are those at and next to the limits of the patterns. */
    @Test
    void agreesWithRegularExpressions() {
        Random random = new Random(16);
        String alphabet = "09afAFgG/!~ \t\u007f\u00e9\u0660x?";
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder(random.nextInt(3) == 0 ? "/" : "");
            int alphabetSize = 1 + random.nextInt(alphabet.length());
            for (int remaining = random.nextInt(20); remaining > 0; remaining--) {
                text.append(alphabet.charAt(random.nextInt(alphabetSize)));
            }
            check(text.toString());
        }
        for (int length : new int[] {0, 1, 9, 10, 16, 17, 127, 128, 129, 4095, 4096, 4097}) {
            check("7".repeat(length));
            check("/".repeat(length));
        }
    }

    private static void check(String text) {
        assertEquals(TOKEN.matcher(text).matches(), HeaderValues.isToken(text), text);
        assertEquals(REQUEST_TARGET.matcher(text).matches(), HeaderValues.isRequestTarget(text), text);
        assertEquals(
                WHOLE_NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1,
                HeaderValues.parseWholeNumber(text),
                text);
        assertEquals(
                HEX.matcher(text).matches() ? Long.parseUnsignedLong(text, 16) : text.hashCode(),
                HeaderValues.parseHexOrHash(text),
                text);
        assertEquals(text.split("\\?", 2)[0], HeaderValues.path(text), text);
    }

    @Test
    void formatsSecondsWithThreeDecimals() {
        assertEquals("0.000", HeaderValues.formatSeconds(0));
        assertEquals("0.001", HeaderValues.formatSeconds(500));
        assertEquals("0.050", HeaderValues.formatSeconds(50_000));
        assertEquals("12.345", HeaderValues.formatSeconds(12_345_499));
        assertEquals("13.000", HeaderValues.formatSeconds(12_999_500));
    }

    @Test
    void rejectsTokenWithSpace() {
        assertTrue(HeaderValues.isToken("a-1"));
        assertFalse(HeaderValues.isToken("a b"));
    }
}
