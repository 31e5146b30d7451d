package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The log says why a request was retried, rejected or failed, and why a connection was closed. */
@Timeout(60)
class RequestLogTest {
    private static List<String> logOf(
            StubServer.RequestHandler endpoint, int maxAttempts, String input, int expectedStatus) throws Exception {
        PrintStream originalErr = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        System.setErr(new PrintStream(log, true));
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint(endpoint);
            AtomicInteger attempts = new AtomicInteger(1);
            fixture.onOutcome = (requestId, outcome, requestFinished, actions) -> {
                if (attempts.getAndIncrement() < maxAttempts) {
                    actions.sendAttempt(requestId, "u0", 0);
                } else {
                    actions.fail(requestId);
                }
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                assertEquals(expectedStatus, client.send(input).readStatus());
            }
            SidecarLog.flush();
        } finally {
            System.setErr(originalErr);
        }
        return log.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static void assertHasLine(List<String> log, String... parts) {
        assertTrue(
                log.stream().anyMatch(line -> List.of(parts).stream().allMatch(line::contains)),
                () -> "no line has " + List.of(parts) + ": " + log);
    }

    @Test
    void namesAttemptsOfRetriedAndFailedRequest() throws Exception {
        List<String> log = logOf(
                (request, connection) -> connection.respond("500 No", "", ""),
                2,
                SidecarFixture.idempotentRequest("a1", 20_000),
                502);
        assertHasLine(log, "request_retried endpoint=u0 request=a1 class=c", "attempts=1", "last_outcome=ERROR");
        assertHasLine(log, "request_failed reason=no_further_attempt request=a1 class=c", "attempts=2");
    }

    @Test
    void namesPassedDeadline() throws Exception {
        List<String> log = logOf((request, connection) -> {}, 1, SidecarFixture.idempotentRequest("a1", 60), 502);
        assertHasLine(log, "request_failed reason=", "request=a1", "attempts=1", "last_endpoint=u0");
    }

    @Test
    void namesReasonOfClosedConnection() throws Exception {
        List<String> log = logOf((request, connection) -> {}, 1, "GET / HTTP/1.1\r\n bad\r\n\r\n", 400);
        assertHasLine(log, "client_connection_closed reason=invalid_input client=/127.0.0.1:");
    }
}
