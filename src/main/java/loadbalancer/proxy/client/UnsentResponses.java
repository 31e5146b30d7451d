package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * The responses of one connection that are written but that its client has not read. Notices a client that reads no
 * further. Confined to the event loop.
 */
final class UnsentResponses {
    /** How long the client may make no progress. The same time is allowed to a connection between two requests. */
    private static final long STALL_TIMEOUT_MICROS = 4_000_000;

    private final Channel channel;
    private final Runnable onChange;
    private long bytes;
    private long lastSeenBytes;
    private long lastSeenProgress;
    private long lastProgressMicros;

    /** {@code onChange} runs whenever {@link #bytes} has changed. */
    UnsentResponses(Channel channel, Runnable onChange) {
        this.channel = channel;
        this.onChange = onChange;
    }

    /** Adds a response of this size, which is sent when {@code written} completes. */
    void add(ChannelFuture written, long responseBytes, long nowMicros) {
        if (written.isDone()) {
            return;
        }
        if (bytes == 0) {
            lastProgressMicros = nowMicros;
        }
        bytes += responseBytes;
        onChange.run();
        written.addListener(done -> {
            bytes -= responseBytes;
            onChange.run();
        });
    }

    /** Returns the size of all responses that are not sent completely. */
    long bytes() {
        return bytes;
    }

    /** Returns whether the client has read nothing for too long. Must be called periodically. */
    boolean isStalled(long nowMicros) {
        ChannelOutboundBuffer outboundBuffer = channel.unsafe().outboundBuffer();
        if (bytes == 0 || outboundBuffer == null) {
            return false;
        }
        long progress = outboundBuffer.currentProgress();
        if (bytes != lastSeenBytes || progress != lastSeenProgress) {
            lastSeenBytes = bytes;
            lastSeenProgress = progress;
            lastProgressMicros = nowMicros;
        }
        return nowMicros - lastProgressMicros > STALL_TIMEOUT_MICROS;
    }
}
