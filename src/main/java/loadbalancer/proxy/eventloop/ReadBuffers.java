package loadbalancer.proxy.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;

/**
 * Allocates the buffers that sockets are read into. Their length adapts to the length of the reads of each connection,
 * and is limited by the {@link ReadBudget} of the event loop.
 */
final class ReadBuffers extends AdaptiveRecvByteBufAllocator {
    private static final int MIN_BYTES = 64;
    private static final int INITIAL_BYTES = 2 * 1024;
    /** The start of a line that has not been read completely keeps its whole buffer, so buffers are short. */
    private static final int MAX_BYTES = 16 * 1024;
    /** Length of a read after the budget of the iteration is used up. */
    private static final int MAX_BYTES_WITHOUT_BUDGET = 2 * 1024;
    /** Length of such a read on a connection that has recently used up much time. An ordinary request fits in. */
    private static final int MAX_BYTES_OF_COSTLY_CONNECTION = 512;
    /**
     * A connection is costly if reading it took longer than this within the present period. Ordinary ones need less.
     */
    private static final long COSTLY_NANOS_PER_PERIOD = 500_000;

    /** The time is looked up after this number of bytes, not for each of the short reads of ordinary requests. */
    private static final int BYTES_PER_BUDGET_CHECK = 1024;

    private static final long PERIOD_NANOS = 1_000_000_000;
    private static final long NOT_BEHIND = 0;

    private final ReadBudget budget;

    ReadBuffers(ReadBudget budget) {
        super(MIN_BYTES, INITIAL_BYTES, MAX_BYTES);
        this.budget = budget;
    }

    @Override
    public Handle newHandle() {
        return new BudgetedHandle(super.newHandle());
    }

    /** The state of one connection. */
    final class BudgetedHandle extends DelegatingHandle {
        private long periodStartNanos;
        private long usedNanosInPeriod;
        private boolean cutShort;
        private long bytesSinceCheck;
        /** Since when the reads of this connection have been cut short; {@link #NOT_BEHIND} if the last one was not. */
        private long behindSinceNanos = NOT_BEHIND;

        BudgetedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            long nowNanos = budget.startReading();
            cutShort = false;
            bytesSinceCheck = 0;
            if (nowNanos - periodStartNanos > PERIOD_NANOS) {
                periodStartNanos = nowNanos;
                usedNanosInPeriod = 0;
            }
            super.reset(config);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return budget.wasUsedUpBefore()
                    ? allocator.ioBuffer(Math.min(maxBytesWithoutBudget(), guess()))
                    : super.allocate(allocator);
        }

        private int maxBytesWithoutBudget() {
            return usedNanosInPeriod > COSTLY_NANOS_PER_PERIOD
                    ? MAX_BYTES_OF_COSTLY_CONNECTION
                    : MAX_BYTES_WITHOUT_BUDGET;
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            bytesSinceCheck += Math.max(0, bytes);
        }

        @Override
        public boolean continueReading() {
            if (!super.continueReading()) {
                return false;
            }
            if (bytesSinceCheck >= BYTES_PER_BUDGET_CHECK) {
                bytesSinceCheck = 0;
                cutShort = budget.isUsedUp();
            }
            return !cutShort;
        }

        @Override
        public void readComplete() {
            super.readComplete();
            usedNanosInPeriod += budget.finishReading();
            if (!cutShort) {
                behindSinceNanos = NOT_BEHIND;
            } else if (behindSinceNanos == NOT_BEHIND) {
                behindSinceNanos = budget.nowNanos();
            }
        }

        /**
         * Returns for how long bytes of this connection may have been unread because of the budget, in microseconds.
         */
        long maxUnreadMicros() {
            return behindSinceNanos == NOT_BEHIND ? 0 : (budget.nowNanos() - behindSinceNanos) / 1_000;
        }
    }
}
