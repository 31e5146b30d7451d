package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Lets a listener accept as many connections in one read as there is room for, but at least one. If it accepted fewer,
 * new clients would wait many iterations of a busy event loop for their turn in the accept backlog; if it accepted
 * more, the surplus would keep out the clients behind it.
 */
final class AcceptAllocator implements RecvByteBufAllocator {
    private final ServerChannelRecvByteBufAllocator delegate = new ServerChannelRecvByteBufAllocator();
    private final IntSupplier admissibleConnections;

    /** {@code admissibleConnections} returns how many further connections there is room for. */
    AcceptAllocator(int maxAcceptsPerRead, IntSupplier admissibleConnections) {
        this.admissibleConnections = admissibleConnections;
        delegate.maxMessagesPerRead(maxAcceptsPerRead);
    }

    @Override
    public Handle newHandle() {
        return new LimitedHandle(delegate.newHandle());
    }

    /** Returns whether the last read of {@code listener} ended before it was known that no more connections wait. */
    static boolean moreMayWait(Channel listener) {
        return listener.unsafe().recvBufAllocHandle() instanceof LimitedHandle handle && handle.stoppedEarly;
    }

    private final class LimitedHandle extends DelegatingHandle {
        /** How many connections there was room for when the read began. They are set up only after it. */
        private int maxAccepts;

        private int acceptedInRead;
        private boolean stoppedEarly;

        LimitedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            maxAccepts = admissibleConnections.getAsInt();
            acceptedInRead = 0;
            stoppedEarly = false;
            super.reset(config);
        }

        @Override
        public void incMessagesRead(int count) {
            acceptedInRead += count;
            super.incMessagesRead(count);
        }

        @Override
        public boolean continueReading() {
            stoppedEarly = acceptedInRead >= maxAccepts || !super.continueReading();
            return !stoppedEarly;
        }
    }
}
