package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the fields of a line are read in order and by type, and that error messages contain the malformed
 * field.
 */
class FieldReaderTest {
    private static void assertInvalid(String line, String expectedMessage) {
        FieldReader fields = new FieldReader(line);
        assertEquals(
                expectedMessage,
                assertThrows(SimulatorProtocolException.class, fields::integer).getMessage());
    }

    @Test
    void readsFieldsInOrder() {
        FieldReader fields = new FieldReader("ACCEPT -17 0.5 1 true 0");
        assertEquals("ACCEPT", fields.text());
        assertEquals(-17, fields.integer());
        assertEquals(0.5, fields.decimalOr(2));
        assertTrue(fields.flag());
        assertTrue(fields.flag());
        assertFalse(fields.flag());
    }

    @Test
    void returnsDefaultForAbsentFieldsAndAtEndOfLine() {
        FieldReader fields = new FieldReader("- - -");
        assertNull(fields.textOrNull());
        assertEquals(7, fields.integerOr(7));
        assertEquals(0.5, fields.decimalOr(0.5));
        assertFalse(fields.flag());
        assertEquals(8, fields.integerOr(8));
    }

    @Test
    void readsIntegralDecimalsAsIntegers() {
        assertEquals(1_000_000, new FieldReader("1e6").integer());
        assertEquals(3, new FieldReader("3.0").integer());
        assertEquals(999_999_999_999_999_999L, new FieldReader("999999999999999999").integer());
    }

    @Test
    void namesMalformedIntegersAndTheirLines() {
        assertInvalid("1.5", "expected an integer but found '1.5' in line '1.5'");
        assertInvalid(
                "1234567890123456789",
                "expected an integer but found '1234567890123456789' in line '1234567890123456789'");
        assertInvalid("x", "expected a number but found 'x' in line 'x'");
        assertInvalid("NaN", "expected a number but found 'NaN' in line 'NaN'");
        assertInvalid("", "too few fields in line ''");
        assertInvalid(" 1", "empty field in line ' 1'");
    }

    @Test
    void readsRemainingFieldsAsPairs() {
        FieldReader fields = new FieldReader("ENLIST me=0 zone=a=b");
        fields.text();
        assertEquals(Map.of("me", "0", "zone", "a=b"), fields.remainingPairs());
        assertThrows(SimulatorProtocolException.class, () -> new FieldReader("me").remainingPairs());
    }
}
