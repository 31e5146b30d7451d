package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import loadbalancer.decision.Request;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.RequestClass;
import org.junit.jupiter.api.Test;

/** Checks how the headers of a request are parsed, and the message of the exception for an invalid request. */
class RequestParserTest {
    private final RequestParser parser = new RequestParser(new RequestClasses(List.of(
            requestClass("read", Idempotency.IDEMPOTENT),
            requestClass("keyed", Idempotency.IDEMPOTENT_WITH_KEY),
            requestClass("write", Idempotency.NOT_IDEMPOTENT))));

    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(name, idempotency, DeduplicationScope.ALL, 0, 100_000, 0, 2_000_000, 1, 0, false);
    }

    private static FullHttpRequest message(HttpMethod method, String requestClass) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/api/slots?day=1");
        message.headers().set("X-Txn", "a1").set("X-Lane", requestClass).set("X-Remaining-Ms", "480");
        return message;
    }

    private void assertRejected(String expectation, FullHttpRequest message) {
        assertEquals(
                expectation,
                assertThrows(InvalidRequestException.class, () -> parser.parse(message))
                        .getMessage());
    }

    @Test
    void parsesRequiredHeadersWithoutOptionalOnes() throws Exception {
        ParsedRequest parsed = parser.parse(message(HttpMethod.GET, "read"));
        assertEquals("a1", parsed.id());
        assertEquals("read", parsed.requestClass().name());
        assertEquals(480_000, parsed.remainingMicros());
        assertEquals("/api/slots?day=1", parsed.payload().uri());
        assertNull(parsed.tenant());
        assertNull(parsed.payload().idempotencyKey());
        assertEquals(Request.NO_ROUTING_KEY, parsed.routingKey());
        assertEquals(0, parsed.costHintMicros());
    }

    @Test
    void parsesOptionalHeaders() throws Exception {
        FullHttpRequest message =
                message(HttpMethod.POST, "keyed").replace(Unpooled.copiedBuffer("body", StandardCharsets.US_ASCII));
        message.headers()
                .set("X-Org", "acme")
                .set("X-Resent", "1")
                .set("X-Estimate", "1500")
                .set("Cookie", "other=1; k=ff")
                .set("Idempotency-Key", "key1");
        ParsedRequest parsed = parser.parse(message);
        assertEquals("acme", parsed.tenant());
        assertEquals(true, parsed.retry());
        assertEquals(1_500, parsed.costHintMicros());
        assertEquals(0xff, parsed.routingKey());
        assertEquals("key1", parsed.payload().idempotencyKey());
        assertEquals("body", new String(parsed.payload().body(), StandardCharsets.US_ASCII));
    }

    @Test
    void limitsRemainingTimeToDeadlineOfClass() throws Exception {
        FullHttpRequest message = message(HttpMethod.GET, "read");
        message.headers().set("X-Remaining-Ms", "999999999");
        assertEquals(2_000_000, parser.parse(message).remainingMicros());
    }

    @Test
    void namesExpectationInException() {
        FullHttpRequest withoutId = message(HttpMethod.GET, "read");
        withoutId.headers().remove("X-Txn");
        assertRejected("expected exactly one request id in header X-Txn", withoutId);
        assertRejected(
                "expected the name of a known request class in header X-Lane", message(HttpMethod.GET, "unknown"));
        FullHttpRequest fractionalTime = message(HttpMethod.GET, "read");
        fractionalTime.headers().set("X-Remaining-Ms", "1.5");
        assertRejected("expected a positive whole number of milliseconds in header X-Remaining-Ms", fractionalTime);
        assertRejected(
                "expected method GET for an idempotent request class, POST for any other class",
                message(HttpMethod.POST, "read"));
        assertRejected(
                "expected no body for an idempotent request class",
                message(HttpMethod.GET, "read").replace(Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII)));
        assertRejected(
                "expected exactly one idempotency key in header Idempotency-Key", message(HttpMethod.POST, "keyed"));
        FullHttpRequest twoKeys = message(HttpMethod.POST, "write");
        twoKeys.headers().add("Idempotency-Key", List.of("key1", "key2"));
        assertRejected("expected exactly one idempotency key in header Idempotency-Key", twoKeys);
        assertRejected(
                "expected a path of visible ASCII characters as the request target",
                message(HttpMethod.GET, "read").setUri("/api/\u00e4"));
    }
}
