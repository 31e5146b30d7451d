package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks the exact bytes of the responses to clients. */
class ClientResponseTest {
    private static String encode(ClientResponse response, ConnectionReuse reuse) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseEncoder());
        channel.writeOutbound(response.toHttpResponse(reuse));
        StringBuilder text = new StringBuilder();
        for (ByteBuf buffer; (buffer = channel.readOutbound()) != null; buffer.release()) {
            text.append(buffer.toString(StandardCharsets.US_ASCII));
        }
        channel.finishAndReleaseAll();
        return text.toString();
    }

    @Test
    void writesBodyOfServedResponse() {
        ByteBuf body = Unpooled.copiedBuffer("served", StandardCharsets.US_ASCII);
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nserved",
                encode(ClientResponse.served(body), ConnectionReuse.KEEP_ALIVE));
        assertEquals(0, body.refCnt());
    }

    @Test
    void writesRetryAfterUnlessItIsZero() {
        assertEquals(
                "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nretry-after: 0.165\r\n\r\n",
                encode(ClientResponse.rejected(165_000), ConnectionReuse.KEEP_ALIVE));
        assertEquals(
                "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
                encode(ClientResponse.rejected(0), ConnectionReuse.KEEP_ALIVE));
    }

    @Test
    void writesConnectionCloseInLastResponse() {
        assertEquals(
                "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
                encode(ClientResponse.withoutBody(HttpResponseStatus.BAD_GATEWAY), ConnectionReuse.CLOSE));
    }
}
