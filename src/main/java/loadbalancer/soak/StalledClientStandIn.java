package loadbalancer.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import loadbalancer.soak.History.StalledClient;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Clients of one sidecar that stop within a request and stay: after a few bytes, or after most of a long request, whose
 * last part they send in small pieces. Records when each gets an error or a close. Confined to the event loop of the
 * run.
 */
final class StalledClientStandIn {
    private static final String[] SHORT_BEGINNINGS = {
        "G", "POST /api HTTP/1.1\r\nX-Txn: ", "POST /api HTTP/1.1\r\nContent-Length: 90\r\n\r\nabc", ""
    };
    private static final int BODY_BYTES = 64 * 1024;
    private static final int FIRST_PIECE_BYTES = 60_000;
    private static final int PIECES = 30;
    private static final int PIECE_BYTES = 100;
    private static final long PIECE_INTERVAL_MILLIS = 50;
    private static final String LONG_BEGINNING = "POST /api HTTP/1.1\r\nHost: api\r\nContent-Length: " + BODY_BYTES
            + "\r\n\r\n" + "x".repeat(FIRST_PIECE_BYTES);
    private static final String PIECE = "x".repeat(PIECE_BYTES);

    private static final int CHUNKS = 65_000;
    private static final ByteBuf SHORT_CHUNKS = Unpooled.unreleasableBuffer(RawHttp.bytes(
            "POST /api HTTP/1.1\r\nHost: api\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS)));

    private final SoakContext context;
    private final UniformRandomProvider random;
    private final IntSupplier process;

    /** {@code process} returns the number of the process that the sidecar runs in now. */
    StalledClientStandIn(SoakContext context, IntSupplier process) {
        this.context = context;
        this.process = process;
        random = context.random();
    }

    /** Sends a few bytes on a new connection and stops. */
    void sendBeginning(Channel channel) {
        recordEnd(channel);
        channel.writeAndFlush(RawHttp.bytes(SHORT_BEGINNINGS[random.nextInt(SHORT_BEGINNINGS.length)]));
    }

    /** Sends most of a long request on a new connection, the last part in small pieces, and stops. */
    void sendLongBeginning(Channel channel) {
        recordEnd(channel);
        channel.writeAndFlush(RawHttp.bytes(LONG_BEGINNING));
        for (int i = 1; i <= PIECES; i++) {
            context.loop()
                    .schedule(
                            () -> channel.writeAndFlush(RawHttp.bytes(PIECE)),
                            i * PIECE_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Sends a long request in very short chunks on a new connection and stops. */
    void sendShortChunks(Channel channel) {
        recordEnd(channel);
        channel.writeAndFlush(SHORT_CHUNKS.duplicate());
    }

    private void recordEnd(Channel channel) {
        long openedMicros = context.clock().nowMicros();
        int stalledAt = process.getAsInt();
        channel.closeFuture().addListener(closed -> context.history()
                .stalledClients
                .add(new StalledClient(stalledAt, openedMicros, context.clock().nowMicros())));
    }
}
