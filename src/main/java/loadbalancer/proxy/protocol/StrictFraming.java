package loadbalancer.proxy.protocol;

import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * Checks that the request decoder and the response decoder make in addition to those of Netty. A message with ambiguous
 * framing is rejected, because its body could be used to smuggle in another message. Stateless.
 */
public final class StrictFraming {
    private StrictFraming() {}

    /** Returns the configuration of both decoders, which accepts only CR LF as the end of a line. */
    public static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig().setStrictLineParsing(true);
    }

    /**
     * Creates the exception for a message that has both {@code Content-Length} and {@code Transfer-Encoding}. By
     * default, Netty accepts such a message and ignores its {@code Content-Length}.
     */
    public static IllegalArgumentException contentLengthWithTransferEncoding() {
        return new IllegalArgumentException("message has both Content-Length and Transfer-Encoding");
    }

    /**
     * Checks that a header name is not empty and is directly followed by a colon. Netty also accepts a line without a
     * colon, or with a space before the colon.
     *
     * @param start the index of the name in {@code line}
     * @param length the length of the name
     * @throws IllegalArgumentException if the name is empty or not followed by a colon
     */
    public static void checkHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        if (length == 0 || end >= line.length || line[end] != ':') {
            throw new IllegalArgumentException("expected a header name directly followed by a colon");
        }
    }
}
