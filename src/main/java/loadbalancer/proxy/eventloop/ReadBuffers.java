package loadbalancer.proxy.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;

/**
 * Allocates the buffers that sockets are read into, and limits how much of each connection is read in one iteration of
 * the event loop. The limit is a number of decoded parts (see {@link DecodedParts}), not of bytes or of time: a long
 * body costs little, and on a busy processor any connection takes time. While the {@link ReadBudget} of the loop is
 * used up, the limit is lower, and the first reads of a connection are short, because a buffer is always decoded whole.
 */
final class ReadBuffers extends AdaptiveRecvByteBufAllocator {
    private static final int MIN_BYTES = 64;
    private static final int INITIAL_BYTES = 2 * 1024;
    /** The start of a line that has not been read completely keeps its whole buffer, so buffers are short. */
    private static final int MAX_BYTES = 16 * 1024;
    /** Length of the first read of a connection in an iteration without time. The head of a request fits in. */
    private static final int FIRST_BYTES_WITHOUT_TIME = 512;
    /** By this factor the reads of such an iteration grow as long as they contain few parts. */
    private static final int GROWTH_FACTOR = 4;
    /** A read with more parts is not followed by a longer one. */
    private static final int MAX_PARTS_BEFORE_GROWTH = 16;

    /** How many parts of one connection are decoded in one iteration before its turn is over. */
    private static final int MAX_PARTS_PER_TURN = 1_024;
    /** The same in an iteration without time. A request with the longest body in ordinary pieces has fewer parts. */
    private static final int MAX_PARTS_PER_TURN_WITHOUT_TIME = 64;
    /** Bytes that cost about as much as a part, if the decoder reports its parts. */
    private static final int BYTES_PER_PART = 4 * 1024;
    /** The same if it does not; then the bytes are taken to be short parts. */
    private static final int BYTES_PER_UNREPORTED_PART = 32;

    private static final long NOT_BEHIND = 0;

    private final ReadBudget budget;
    private final boolean untilEmpty;

    /**
     * Creates an allocator.
     *
     * @param untilEmpty whether a socket is read until it is empty or at its end; otherwise only until a read does not
     *     fill its buffer
     */
    ReadBuffers(ReadBudget budget, boolean untilEmpty) {
        super(MIN_BYTES, INITIAL_BYTES, MAX_BYTES);
        this.budget = budget;
        this.untilEmpty = untilEmpty;
        respectMaybeMoreData(!untilEmpty);
    }

    @Override
    public Handle newHandle() {
        return new BudgetedHandle(super.newHandle());
    }

    /** The state of one connection. */
    final class BudgetedHandle extends DelegatingHandle {
        private int partsInTurn;
        private int partsInRead;
        private boolean partsReported;
        /** The length of the next read in an iteration without time. */
        private int nextBytesWithoutTime;

        /** How many bytes contain the parts of one turn, if they are like those of the last read. */
        private int maxBytesOfRead = MAX_BYTES;

        private boolean cutShort;
        /** The iteration in which this connection was last cut short. */
        private long cutShortIteration;
        /** Since when the reads of this connection have been cut short; {@link #NOT_BEHIND} if the last one was not. */
        private long behindSinceNanos = NOT_BEHIND;

        BudgetedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            budget.startReading();
            if (!isBehind()) {
                behindSinceNanos = NOT_BEHIND;
            }
            cutShort = false;
            partsInTurn = 0;
            nextBytesWithoutTime = FIRST_BYTES_WITHOUT_TIME;
            super.reset(config);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            partsInRead = 0;
            partsReported = false;
            int bytes = budget.lacksTime() ? nextBytesWithoutTime : guess();
            return allocator.ioBuffer(Math.min(bytes, maxBytesOfRead));
        }

        void recordDecodedParts(int parts) {
            partsInRead += parts;
            partsReported = true;
        }

        @Override
        public boolean continueReading() {
            endRead(Math.max(0, lastBytesRead()));
            boolean turnOver = partsInTurn >= MAX_PARTS_PER_TURN
                    || partsInTurn >= MAX_PARTS_PER_TURN_WITHOUT_TIME && (budget.lacksTime() || budget.isUsedUp());
            boolean mayContinue = !turnOver && super.continueReading();
            boolean socketMayHaveMore = untilEmpty || lastBytesRead() == attemptedBytesRead();
            cutShort = !mayContinue && socketMayHaveMore;
            return mayContinue;
        }

        private void endRead(int bytes) {
            partsInTurn += 1 + partsInRead + bytes / (partsReported ? BYTES_PER_PART : BYTES_PER_UNREPORTED_PART);
            if (partsReported && partsInRead <= MAX_PARTS_BEFORE_GROWTH) {
                nextBytesWithoutTime = Math.min(MAX_BYTES, nextBytesWithoutTime * GROWTH_FACTOR);
            }
            long bytesWithPartsOfTurn = (long) bytes * MAX_PARTS_PER_TURN / Math.max(1, partsInRead);
            maxBytesOfRead = (int) Math.max(FIRST_BYTES_WITHOUT_TIME, Math.min(MAX_BYTES, bytesWithPartsOfTurn));
        }

        @Override
        public void readComplete() {
            super.readComplete();
            budget.finishReading();
            if (!cutShort) {
                behindSinceNanos = NOT_BEHIND;
                return;
            }
            cutShortIteration = budget.iteration();
            if (behindSinceNanos == NOT_BEHIND) {
                behindSinceNanos = budget.nowNanos();
            }
        }

        /**
         * Returns whether the socket may have unread bytes, or an unread end of the connection, because its last read
         * was cut short. If a later iteration did not read it at all, nothing was left.
         */
        boolean isBehind() {
            return behindSinceNanos != NOT_BEHIND && budget.completedIteration() <= cutShortIteration;
        }

        /** Returns for how long bytes of this connection may have been unread for that reason, in microseconds. */
        long maxUnreadMicros() {
            return isBehind() ? (budget.nowNanos() - behindSinceNanos) / 1_000 : 0;
        }
    }
}
