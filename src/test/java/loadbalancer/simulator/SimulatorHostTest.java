package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the reply to a batch contains the actions of its instances, and that invalid input gives one error
 * line.
 */
class SimulatorHostTest {
    /** Name of the decision module's timer for sending gossip. */
    private static final String GOSSIP_TIMER = "gossip";

    private static final String SETTINGS = "me=0 balancers=2 zone=z kinds=k azs=z profiles.count=1 profiles.0.name=c "
            + "profiles.0.semantics=safe profiles.0.objective_us=300000 profiles.0.give_up_us=800000 "
            + "rules.drain_grace_us=500000 rules.cold_share=0.2 rules.ramp_time_us=9000000 rules.fall_multiple=3 "
            + "rules.fall_us=1000000 load_info.how=inline load_info.fields=pending,busy_reqs";
    private static final String UNKNOWN_SETTING = "new.key=1";
    private static final String START = "MARK 1000\nINSTANCE sidecar-0\nENLIST 5 " + SETTINGS + " " + UNKNOWN_SETTING
            + "\n" + "PAGE 3 1\nROW z up_a k 0 - 1 1\nANNOUNCE 4 1 3\nEND\n";
    private static final String REQUEST = "MARK 2000\nINSTANCE sidecar-0\nACCEPT 0f - 0 0 - 800000 - c\nEND\n";

    private int exitStatus;
    private String output;
    private String errors;

    private void run(String input) throws Exception {
        ByteArrayOutputStream outputBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errorBytes = new ByteArrayOutputStream();
        exitStatus = new SimulatorHost(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        outputBytes,
                        new PrintStream(errorBytes, true))
                .run();
        output = outputBytes.toString(StandardCharsets.UTF_8);
        errors = errorBytes.toString(StandardCharsets.UTF_8);
    }

    private void assertInvalid(String input, String expectedText) throws Exception {
        run(input);
        assertEquals(1, exitStatus);
        assertEquals(1, errors.lines().count(), errors);
        assertTrue(errors.contains(expectedText), errors);
    }

    @Test
    void forwardsRequestAndIgnoresUnknownSetting() throws Exception {
        run(START + REQUEST);
        assertEquals(0, exitStatus, errors);
        assertTrue(output.contains("BY sidecar-0\nASSIGN 0f up_a 802000\n"), output);
        assertTrue(output.endsWith("OK\n"));
    }

    @Test
    void closesConnectionsAndSendsGossipIfConfigured() throws Exception {
        for (boolean configured : new boolean[] {true, false}) {
            String start = configured
                    ? START.replace(UNKNOWN_SETTING, "rules.close_on_drain_within_us=500000 limits.peers=true")
                    : START;
            run(start + REQUEST
                    + "MARK 9000\nINSTANCE sidecar-0\nREPORT_BACK 0f 0 up_a GOOD 7000 1 0,1\nEND\n"
                    + "MARK 10000\nPAGE 4 1\nROW z up_a k 0 - 1 2\nINSTANCE sidecar-0\nANNOUNCE 2 2 4\n"
                    + "DEADLINE_HIT " + GOSSIP_TIMER + "\nEND\n");
            if (configured) {
                assertEquals(0, exitStatus, errors);
                assertTrue(output.contains("LET_GO up_a\n"), output);
                assertTrue(output.contains("WRITE_PEER -1 "), output);
            } else {
                assertTrue(!output.contains("LET_GO"), output);
            }
        }
    }

    @Test
    void repliesToEmptyBatch() throws Exception {
        run("MARK 7\nEND\n");
        assertEquals("OK\n", output);
        assertEquals(0, exitStatus);
    }

    @Test
    void acceptsEventsOfUnknownRequests() throws Exception {
        run(START + "MARK 2000\nINSTANCE sidecar-0\nACCEPT 0f - 0 0 - 800000 - c\n"
                + "REPORT_BACK ff 0 up_x GOOD 5 1 -\nEXPIRED ee\nEND\n"
                + "MARK 9000\nINSTANCE sidecar-0\nREPORT_BACK 0f 0 up_a GOOD 7000 1 0,1\nMAIL 1 AAAA\nEND\n");
        assertEquals(0, exitStatus, errors);
        assertTrue(!output.contains("DIE"), output);
    }

    @Test
    void reportsInvalidInputInOneLine() throws Exception {
        assertInvalid("HELLO\n", "expected MARK at the start of a batch but found 'HELLO'");
        assertInvalid("MARK x\nEND\n", "expected a number but found 'x'");
        assertInvalid("MARK 5\n", "ended within a batch");
        assertInvalid("MARK 5\nINSTANCE sidecar-0\nACCEPT 1\nEND\n", "has not started");
        assertInvalid("MARK 5\nACCEPT 1\nEND\n", "expected an INSTANCE line before 'ACCEPT'");
        assertInvalid(START + "MARK 6\nINSTANCE sidecar-0\nDANCE\nEND\n", "unknown");
        assertInvalid(START + "MARK 6\nINSTANCE sidecar-0\nACCEPT 0f\nEND\n", "too few fields");
        assertInvalid(START + "MARK 6\nINSTANCE sidecar-0\nREPORT_BACK 0f 0 up_a FINE 5 1 -\nEND\n", "FINE");
        assertInvalid(START + "MARK 6\nPAGE 1 2\nROW z a k 0 - 1 1\n", "ended within a PAGE");
        assertInvalid("MARK 5\nINSTANCE sidecar-0\nENLIST 5 me=0\nEND\n", "is missing");
    }

    @Test
    void reportsExceptionOfDecisionModule() throws Exception {
        run(START + "MARK 6\nINSTANCE sidecar-0\nACCEPT 0f - 0 0 - 800000 - nosuch\nEND\n");
        assertEquals(0, exitStatus);
        assertTrue(output.contains("DIE ") && output.contains("nosuch"), output);
    }

    @Test
    void restartsStoppedInstance() throws Exception {
        run(START + "MARK 6\nINSTANCE sidecar-0\nDOWN\nENLIST 6 " + SETTINGS + "\nANNOUNCE 4 1 3\n"
                + "ACCEPT 0f - 0 0 - 800000 - c\nEND\n");
        assertEquals(0, exitStatus, errors);
        assertTrue(output.contains("ASSIGN 0f up_a"), output);
    }
}
