package loadbalancer.proxy.protocol;

import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * The rules that the decoders of requests and of responses apply beyond those of Netty. A message that two readers may
 * frame differently is rejected: a body could hide a message otherwise.
 */
public final class StrictFraming {
    private StrictFraming() {}

    /** The configuration of both decoders: lines end with CR LF and nothing else. */
    public static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig().setStrictLineParsing(true);
    }

    /** What is wrong with a message of two framings; Netty itself drops the length and goes on. */
    public static IllegalArgumentException contentLengthWithTransferEncoding() {
        return new IllegalArgumentException("Content-Length beside Transfer-Encoding");
    }

    /**
     * Checks that a name ends with a colon; Netty takes a line without a colon, or with a space before it, for a
     * header.
     *
     * @throws IllegalArgumentException where {@code line} has no name of {@code length} bytes at {@code start}
     */
    public static void checkHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        if (length == 0 || end >= line.length || line[end] != ':') {
            throw new IllegalArgumentException("a header line without a name");
        }
    }
}
