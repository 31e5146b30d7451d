package loadbalancer.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Texts of HTTP messages that the stand-ins send, valid ones and others. */
final class RawHttp {
    private RawHttp() {}

    static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a response whose end is the end of its connection. */
    static String responseWithoutLength(String body) {
        return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body;
    }

    /** Returns a response that states more bytes than it has. */
    static String truncatedResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + (body.length() + 20) + "\r\n\r\n" + body;
    }
}
