package loadbalancer.proxy.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Detects a response that has begun but makes no progress for a time. A response that arrives slowly but steadily is
 * not affected. Used by one connection, on its event loop.
 */
final class ResponseStallTimer {
    private final long stallMicros;
    private final BooleanSupplier responseIncomplete;
    private final Consumer<ChannelHandlerContext> onStall;
    private long lastProgressNanos;
    /** Null while no check is scheduled. */
    private Future<?> check;

    /**
     * Creates a timer that is not running.
     *
     * @param stallMicros the longest pause between two reads of one response
     * @param responseIncomplete whether a response has begun and not ended; checked when the pause is over
     * @param onStall called with the connection's context when a response stalls
     */
    ResponseStallTimer(long stallMicros, BooleanSupplier responseIncomplete, Consumer<ChannelHandlerContext> onStall) {
        this.stallMicros = stallMicros;
        this.responseIncomplete = responseIncomplete;
        this.onStall = onStall;
    }

    /** A part of a response was read. */
    void recordProgress(ChannelHandlerContext context) {
        lastProgressNanos = System.nanoTime();
        if (check == null) {
            schedule(context, stallMicros);
        }
    }

    void cancel() {
        if (check != null) {
            check.cancel(false);
            check = null;
        }
    }

    private void schedule(ChannelHandlerContext context, long delayMicros) {
        check = context.executor().schedule(() -> check(context), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void check(ChannelHandlerContext context) {
        check = null;
        long remainingMicros = stallMicros - (System.nanoTime() - lastProgressNanos) / 1000;
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
