package loadbalancer.proxy.client;

import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Limits how many connections a listener accepts in one read: a few, or as many as there is room for. While the event
 * loop is busy, new clients would otherwise wait many iterations for their turn in the accept backlog.
 */
final class AcceptAllocator implements RecvByteBufAllocator {
    private final ServerChannelRecvByteBufAllocator delegate = new ServerChannelRecvByteBufAllocator();
    private final int minAcceptsPerRead;
    private final IntSupplier freeConnections;

    /**
     * {@code freeConnections} returns how many further connections may be open. Of the connections that wait,
     * {@code minAcceptsPerRead} are accepted even if that is more.
     */
    AcceptAllocator(int minAcceptsPerRead, int maxAcceptsPerRead, IntSupplier freeConnections) {
        this.minAcceptsPerRead = minAcceptsPerRead;
        this.freeConnections = freeConnections;
        delegate.maxMessagesPerRead(maxAcceptsPerRead);
    }

    @Override
    public Handle newHandle() {
        return new LimitedHandle(delegate.newHandle());
    }

    private final class LimitedHandle extends DelegatingHandle {
        private int acceptedInRead;

        LimitedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            acceptedInRead = 0;
            super.reset(config);
        }

        @Override
        public void incMessagesRead(int count) {
            acceptedInRead += count;
            super.incMessagesRead(count);
        }

        @Override
        public boolean continueReading() {
            boolean mayAccept = acceptedInRead < minAcceptsPerRead || acceptedInRead < freeConnections.getAsInt();
            return mayAccept && super.continueReading();
        }
    }
}
