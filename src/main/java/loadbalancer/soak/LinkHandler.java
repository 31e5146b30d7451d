package loadbalancer.soak;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One connection of a {@link Link}: holds data in both directions as the link says, and records when the first byte of
 * a request arrived. The first handler of its pipeline.
 */
final class LinkHandler extends ChannelDuplexHandler {
    /** When the first byte of the current request arrived; removed by the handler that takes the request. */
    static final AttributeKey<Long> FIRST_BYTE_MICROS = AttributeKey.valueOf("firstByteMicros");

    /** Data that is held; {@code promise} is null for data from the sidecar. */
    private record HeldData(Object message, ChannelPromise promise, long dueMicros) {}

    private final Link link;
    private final RunClock clock;
    private final ArrayDeque<HeldData> inbound = new ArrayDeque<>();
    private final ArrayDeque<HeldData> outbound = new ArrayDeque<>();
    private ChannelHandlerContext context;

    LinkHandler(Link link, RunClock clock) {
        this.link = link;
        this.clock = clock;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        context = handlerContext;
        link.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) throws Exception {
        link.remove(this);
        release(inbound);
        release(outbound);
        super.channelInactive(handlerContext);
    }

    private static void release(ArrayDeque<HeldData> held) {
        for (HeldData data : held) {
            ReferenceCountUtil.release(data.message());
            if (data.promise() != null) {
                data.promise().tryFailure(new ClosedChannelException());
            }
        }
        held.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        context.channel().attr(FIRST_BYTE_MICROS).setIfAbsent(clock.nowMicros());
        inbound.add(new HeldData(message, null, clock.nowMicros() + link.delayMicros()));
        forwardDueData();
    }

    @Override
    public void write(ChannelHandlerContext handlerContext, Object message, ChannelPromise promise) {
        outbound.add(new HeldData(message, promise, clock.nowMicros() + link.delayMicros()));
        forwardDueData();
    }

    /** Passes on the data whose delay is over, unless the link is silent. */
    void forwardDueData() {
        if (link.isSilent()) {
            return;
        }
        while (isDue(inbound)) {
            context.fireChannelRead(inbound.poll().message());
        }
        boolean written = false;
        while (isDue(outbound)) {
            HeldData data = outbound.poll();
            context.write(data.message(), data.promise());
            written = true;
        }
        if (written) {
            context.flush();
        }
    }

    private boolean isDue(ArrayDeque<HeldData> held) {
        if (held.isEmpty()) {
            return false;
        }
        long waitMicros = held.peek().dueMicros() - clock.nowMicros();
        if (waitMicros > 0) {
            context.executor().schedule(this::forwardDueData, waitMicros, TimeUnit.MICROSECONDS);
        }
        return waitMicros <= 0;
    }

    void reset() {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.channel().close();
    }

    void close() {
        context.channel().close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        context.channel().close();
    }
}
