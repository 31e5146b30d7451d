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
 * Checks the headers of an aggregated request against the protocol and reads them. A request that no endpoint could use
 * is rejected here, because forwarding it would make the endpoint look faulty. Confined to the event loop; does not
 * change or release the message.
 */
final class RequestParser {
    private static final int ROUTING_KEY_BITS = 53;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final String RETRY_VALUE = "1";

    private final RequestClasses classes;

    RequestParser(RequestClasses classes) {
        this.classes = classes;
    }

    /** @throws InvalidRequestException naming the first rule that the request violates */
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
                // Otherwise a client could make the sidecar hold its request for days.
                Math.min(remainingMicros, requestClass.deadlineMicros()),
                payload(message));
    }

    /** Returns the request's id; empty if it has no valid one. */
    static String requestId(FullHttpRequest message) {
        return singleToken(message.headers(), ProtocolConstants.REQUEST_ID);
    }

    private static String requireId(HttpHeaders headers) throws InvalidRequestException {
        String id = singleToken(headers, ProtocolConstants.REQUEST_ID);
        check(!id.isEmpty(), "one request id expected in " + ProtocolConstants.REQUEST_ID);
        return id;
    }

    private RequestClass requireClass(HttpHeaders headers) throws InvalidRequestException {
        RequestClass requestClass = classes.get(singleToken(headers, ProtocolConstants.REQUEST_CLASS));
        check(requestClass != null, "the name of a known class expected in " + ProtocolConstants.REQUEST_CLASS);
        return requestClass;
    }

    private static long requireRemainingMicros(HttpHeaders headers) throws InvalidRequestException {
        long remainingMillis = HeaderValues.parseWholeNumber(singleToken(headers, ProtocolConstants.REMAINING_MILLIS));
        check(remainingMillis > 0, "whole milliseconds above 0 expected in " + ProtocolConstants.REMAINING_MILLIS);
        return remainingMillis * MICROS_PER_MILLI;
    }

    /** The class determines the method: GET for an idempotent one, POST for any other. */
    private static void checkMethod(FullHttpRequest message, RequestClass requestClass) throws InvalidRequestException {
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        HttpMethod expected = idempotent ? HttpMethod.GET : HttpMethod.POST;
        check(message.method().equals(expected), "GET expected for an idempotent class, POST for any other");
        check(!idempotent || !message.content().isReadable(), "no body expected for an idempotent class");
    }

    private static void checkIdempotencyKey(HttpHeaders headers, RequestClass requestClass)
            throws InvalidRequestException {
        boolean required = requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        boolean present = headers.contains(ProtocolConstants.IDEMPOTENCY_KEY);
        boolean valid = !singleToken(headers, ProtocolConstants.IDEMPOTENCY_KEY).isEmpty();
        check(present ? valid : !required, "one key expected in " + ProtocolConstants.IDEMPOTENCY_KEY);
    }

    private static void checkRequestLine(FullHttpRequest message) throws InvalidRequestException {
        check(HeaderValues.isRequestTarget(message.uri()), "a path of visible ASCII characters expected");
        check(message.protocolVersion().majorVersion() == 1, "HTTP/1.x expected");
    }

    private static void check(boolean valid, String expectation) throws InvalidRequestException {
        if (!valid) {
            throw new InvalidRequestException(expectation);
        }
    }

    /**
     * Returns the value of a header that must occur once; empty if it is missing, repeated or not a token. A repeated
     * header is ambiguous.
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
