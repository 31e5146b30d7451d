package loadbalancer.proxy.client;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.List;
import loadbalancer.decision.Request;
import loadbalancer.proxy.protocol.HeaderValues;
import loadbalancer.proxy.protocol.ProtocolConstants;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.RequestClass;

/**
 * Parses the headers of an aggregated request and checks them against the protocol. Rejects a request that no endpoint
 * could process, because forwarding it would make the endpoint look faulty. Confined to the event loop; does not modify
 * or release the message.
 */
final class RequestParser {
    private static final int ROUTING_KEY_BITS = 53;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final String RETRY_VALUE = "1";

    private final RequestClasses classes;

    RequestParser(RequestClasses classes) {
        this.classes = classes;
    }

    /**
     * Parses and checks a request.
     *
     * @throws InvalidRequestException if the request is invalid; the message says what was expected
     */
    ParsedRequest parse(FullHttpRequest message) throws InvalidRequestException {
        HttpHeaders headers = message.headers();
        String id = requireId(headers);
        RequestClass requestClass = requireClass(headers);
        long remainingMicros = requireRemainingMicros(headers);
        checkMethod(message, requestClass);
        checkIdempotencyKey(headers, requestClass);
        checkRequestLine(message);
        return new ParsedRequest(
                id,
                requestClass,
                headers.get(ProtocolConstants.TENANT),
                routingKey(headers),
                RETRY_VALUE.equals(headers.get(ProtocolConstants.RETRY)),
                Math.max(0, HeaderValues.parseWholeNumber(singleToken(headers, ProtocolConstants.COST_HINT))),
                // Without this limit a client could make the sidecar hold its request for days.
                Math.min(remainingMicros, requestClass.deadlineMicros()),
                payload(message));
    }

    /** Returns the request's id; an empty string if it does not have exactly one valid id. */
    static String requestId(FullHttpRequest message) {
        return singleToken(message.headers(), ProtocolConstants.REQUEST_ID);
    }

    private static String requireId(HttpHeaders headers) throws InvalidRequestException {
        String id = singleToken(headers, ProtocolConstants.REQUEST_ID);
        check(!id.isEmpty(), "expected exactly one request id in header " + ProtocolConstants.REQUEST_ID);
        return id;
    }

    private RequestClass requireClass(HttpHeaders headers) throws InvalidRequestException {
        RequestClass requestClass = classes.get(singleToken(headers, ProtocolConstants.REQUEST_CLASS));
        check(
                requestClass != null,
                "expected the name of a known request class in header " + ProtocolConstants.REQUEST_CLASS);
        return requestClass;
    }

    private static long requireRemainingMicros(HttpHeaders headers) throws InvalidRequestException {
        long remainingMillis = HeaderValues.parseWholeNumber(singleToken(headers, ProtocolConstants.REMAINING_MILLIS));
        check(
                remainingMillis > 0,
                "expected a positive whole number of milliseconds in header " + ProtocolConstants.REMAINING_MILLIS);
        return remainingMillis * MICROS_PER_MILLI;
    }

    /** Checks that a request of an idempotent class is a GET without a body, and any other a POST. */
    private static void checkMethod(FullHttpRequest message, RequestClass requestClass) throws InvalidRequestException {
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        HttpMethod expected = idempotent ? HttpMethod.GET : HttpMethod.POST;
        check(
                message.method().equals(expected),
                "expected method GET for an idempotent request class, POST for any other class");
        check(!idempotent || !message.content().isReadable(), "expected no body for an idempotent request class");
    }

    private static void checkIdempotencyKey(HttpHeaders headers, RequestClass requestClass)
            throws InvalidRequestException {
        boolean required = requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        boolean present = headers.contains(ProtocolConstants.IDEMPOTENCY_KEY);
        boolean valid = !singleToken(headers, ProtocolConstants.IDEMPOTENCY_KEY).isEmpty();
        check(
                present ? valid : !required,
                "expected exactly one idempotency key in header " + ProtocolConstants.IDEMPOTENCY_KEY);
    }

    private static void checkRequestLine(FullHttpRequest message) throws InvalidRequestException {
        check(
                HeaderValues.isRequestTarget(message.uri()),
                "expected a path of visible ASCII characters as the request target");
        check(message.protocolVersion().majorVersion() == 1, "expected protocol version HTTP/1.x");
    }

    private static void check(boolean valid, String expectation) throws InvalidRequestException {
        if (!valid) {
            throw new InvalidRequestException(expectation);
        }
    }

    /**
     * Returns the value of a header that must occur exactly once, because a repeated header is ambiguous; an empty
     * string if the header is missing or repeated, or its value is not a token.
     */
    private static String singleToken(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 && HeaderValues.isToken(values.get(0)) ? values.get(0) : "";
    }

    private static long routingKey(HttpHeaders headers) {
        String cookies = headers.get(HttpHeaderNames.COOKIE);
        if (cookies != null) {
            for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
                if (cookie.name().equals(ProtocolConstants.ROUTING_KEY_COOKIE)) {
                    return HeaderValues.parseHexOrHash(cookie.value()) & (1L << ROUTING_KEY_BITS) - 1;
                }
            }
        }
        return Request.NO_ROUTING_KEY;
    }

    private static RequestPayload payload(FullHttpRequest message) {
        return new RequestPayload(
                message.method(),
                message.uri(),
                message.headers().get(ProtocolConstants.IDEMPOTENCY_KEY),
                ByteBufUtil.getBytes(message.content()));
    }
}
