package loadbalancer.proxy.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Detects a response that has begun but makes no progress within the stall timeout. A response that arrives slowly but
 * steadily is not affected. Used by one connection, on its event loop.
 */
final class ResponseStallTimer {
    private final long stallTimeoutMicros;
    private final BooleanSupplier responseIncomplete;
    private final Consumer<ChannelHandlerContext> onStall;
    private long lastProgressNanos;
    /** Null while no check is scheduled. */
    private Future<?> scheduledCheck;

    /**
     * Creates a timer that is not running.
     *
     * @param stallTimeoutMicros the maximum time between two reads of one response
     * @param responseIncomplete returns whether a response has begun but has not ended; called when the timeout is over
     * @param onStall called with the connection's context when a response stalls
     */
    ResponseStallTimer(
            long stallTimeoutMicros, BooleanSupplier responseIncomplete, Consumer<ChannelHandlerContext> onStall) {
        this.stallTimeoutMicros = stallTimeoutMicros;
        this.responseIncomplete = responseIncomplete;
        this.onStall = onStall;
    }

    /** Restarts the timeout after a part of a response was read. */
    void recordProgress(ChannelHandlerContext context) {
        lastProgressNanos = System.nanoTime();
        if (scheduledCheck == null) {
            schedule(context, stallTimeoutMicros);
        }
    }

    void cancel() {
        if (scheduledCheck != null) {
            scheduledCheck.cancel(false);
            scheduledCheck = null;
        }
    }

    private void schedule(ChannelHandlerContext context, long delayMicros) {
        scheduledCheck = context.executor().schedule(() -> checkProgress(context), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void checkProgress(ChannelHandlerContext context) {
        scheduledCheck = null;
        long remainingMicros = stallTimeoutMicros - (System.nanoTime() - lastProgressNanos) / 1000;
        if (!responseIncomplete.getAsBoolean()) {
            return;
        }
        if (remainingMicros <= 0) {
            onStall.accept(context);
        } else {
            schedule(context, remainingMicros);
        }
    }
}
