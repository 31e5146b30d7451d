package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.List;
import loadbalancer.decision.GossipMessage.MachineTypeSample;
import org.junit.jupiter.api.Test;

/** Tests the encoding and decoding of gossip messages. */
class GossipMessageTest {
    private static final List<MachineTypeSample> MACHINE_TYPES =
            List.of(new MachineTypeSample(1.5, 3.5, 0), new MachineTypeSample(0.25, 0, 40));

    private static GossipMessage message(double ratePerSecond, double inFlight) {
        return new GossipMessage(1, ratePerSecond, inFlight, MACHINE_TYPES, 8_000_000);
    }

    @Test
    void decodesEncodedMessage() {
        GossipMessage decoded = GossipMessage.decode(message(604.5, 128).encode(), 2);
        assertNotNull(decoded);
        assertEquals(1, decoded.zoneIndex());
        assertEquals(604.5, decoded.ratePerSecond(), 0.1);
        assertEquals(128, decoded.inFlight());
        assertEquals(MACHINE_TYPES, decoded.machineTypes());
        assertEquals(8_000_000, decoded.idleLimitMicros());
    }

    @Test
    void returnsNullForWrongLength() {
        byte[] bytes = message(604.5, 128).encode();
        for (int length = 0; length < 2 * bytes.length; length++) {
            GossipMessage decoded = GossipMessage.decode(Arrays.copyOf(bytes, length), 2);
            assertEquals(length == bytes.length, decoded != null);
        }
        assertNull(GossipMessage.decode(bytes, 3));
    }

    @Test
    void encodesTooLargeValuesAsLargest() {
        GossipMessage decoded = GossipMessage.decode(message(1e9, 1e9).encode(), 2);
        assertNotNull(decoded);
        assertEquals(65_535, decoded.inFlight());
        assertEquals(65_535 / 8.0, decoded.ratePerSecond());
    }
}
