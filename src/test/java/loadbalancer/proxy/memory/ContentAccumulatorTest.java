package loadbalancer.proxy.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ContentAccumulatorTest {
    private static final int MAX_BYTES = 1_000;
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final ContentAccumulator accumulator = new ContentAccumulator(MAX_BYTES);
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new HttpRequestDecoder(), accumulator, new HttpObjectAggregator(MAX_BYTES));
    private final List<ByteBuf> readBuffers = new ArrayList<>();

    /** Passes text on in a buffer that is much longer, as a read of a socket does. */
    private void read(String text) {
        ByteBuf buffer = Unpooled.directBuffer(READ_BUFFER_BYTES);
        buffer.writeCharSequence(text, StandardCharsets.US_ASCII);
        readBuffers.add(buffer);
        channel.writeInbound(buffer);
    }

    private void assertReadBuffersReleased() {
        assertTrue(readBuffers.stream().allMatch(buffer -> buffer.refCnt() == 0), "a read buffer is kept");
    }

    @Test
    void keepsBytesButNotTheBuffersThatTheyWereReadInto() {
        read("POST / HTTP/1.1\r\nContent-Length: 600\r\n\r\n");
        for (int i = 0; i < 500; i++) {
            read("x");
        }
        assertReadBuffersReleased();
        assertTrue(accumulator.heldBytes() <= 1_024, "held: " + accumulator.heldBytes());
        read("x".repeat(100));
        FullHttpRequest request = channel.readInbound();
        assertEquals("x".repeat(600), request.content().toString(StandardCharsets.US_ASCII));
        assertEquals(0, accumulator.heldBytes());
        request.release();
        assertReadBuffersReleased();
    }

    @Test
    void joinsChunksAndKeepsTrailers() {
        read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
        read("1\r\nc\r\n0\r\nTrailer-Field: t\r\n\r\n");
        FullHttpRequest request = channel.readInbound();
        assertEquals("abc", request.content().toString(StandardCharsets.US_ASCII));
        assertEquals("t", request.trailingHeaders().get("Trailer-Field"));
        request.release();
    }

    @Test
    void rejectsChunkedContentAsSoonAsItIsTooLong() {
        read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "258\r\n" + "x".repeat(0x258) + "\r\n");
        read("258\r\n" + "x".repeat(0x258) + "\r\n0\r\n\r\n");
        FullHttpResponse response = channel.readOutbound();
        assertEquals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, response.status());
        assertNull(channel.readInbound());
        assertEquals(0, accumulator.heldBytes());
    }

    @Test
    void discardsContentOfInvalidMessage() {
        read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n");
        FullHttpRequest request = channel.readInbound();
        assertTrue(request.decoderResult().isFailure());
        assertEquals(0, accumulator.heldBytes());
        request.release();
    }

    @Test
    void releasesContentWhenConnectionCloses() {
        read("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
        assertTrue(accumulator.heldBytes() > 0);
        channel.close();
        assertEquals(0, accumulator.heldBytes());
        assertNull(channel.readInbound());
        assertReadBuffersReleased();
    }
}
