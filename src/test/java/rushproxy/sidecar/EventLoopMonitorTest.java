package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class VitalsTest {
    /** Only a late beat is told, by what was longest since the one before, and not again within a second. */
    @Test
    void aLateBeatTellsWhatCameSinceTheOneBefore() {
        Clock clock = new Clock();
        Vitals vitals = new Vitals(clock);
        vitals.did("before the first beat", clock.now() - 900_000);
        assertNull(vitals.beat(300_000));
        vitals.did("short", clock.now() - 2_000);
        assertNull(vitals.beat(100_000));
        vitals.did("long", clock.now() - 500_000);
        vitals.did("short", clock.now() - 2_000);
        String line = vitals.beat(300_000);
        assertTrue(line.startsWith("the event loop was late by 300 ms: "), line);
        assertTrue(line.contains("ms of compiling") && line.contains("classes loaded"), line);
        assertTrue(line.contains("longest: long, 5"), line);
        assertNull(vitals.beat(300_000));
    }
}
