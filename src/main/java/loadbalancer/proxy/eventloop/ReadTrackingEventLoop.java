package loadbalancer.proxy.eventloop;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A single-threaded event loop that records when it last read all of its sockets. If the loop is late, a client's
 * disconnection may still be unread in one socket while an event from another socket starts an attempt for that client.
 * Therefore an attempt is started only after a recent read of all sockets ({@link #runAfterRecentRead}). Waiting for
 * this read postpones the start by up to {@link #MAX_POSTPONEMENTS} iterations of the loop, but never blocks the loop.
 *
 * <p>{@link #clock}, {@link #nettyEventLoop} and {@link #shutDown} may be called from any thread, all other methods
 * only on the event loop.
 */
public final class ReadTrackingEventLoop {
    /**
     * Maximum age of the last read of all sockets when an attempt starts. An attempt may start at most 100 ms after its
     * client has disconnected; this age takes up a quarter of that time.
     */
    public static final long MAX_READ_AGE_MICROS = 25_000;
    /**
     * Maximum number of times that an attempt's start is postponed because the last read is too old. Without this limit
     * no attempt would start if every iteration took longer than {@link #MAX_READ_AGE_MICROS}.
     */
    private static final int MAX_POSTPONEMENTS = 2;
    /** {@link #currentLagMicros} returns 0 for a shorter lag, which is within the normal inaccuracy of timers. */
    private static final long MIN_LAG_MICROS = 20_000;
    /**
     * Each {@link #recordLag} reduces the recent lag by the fraction 1 / {@code LAG_DECAY_DIVISOR}, so that about
     * twenty calls halve it.
     */
    private static final int LAG_DECAY_DIVISOR = 32;

    private static final long NO_DEADLINE = -1;

    private final MonotonicClock clock;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final ReadBudget readBudget = new ReadBudget(System::nanoTime);
    private final ArrayDeque<AttemptStart> pendingAttemptStarts = new ArrayDeque<>();
    private boolean attemptStartsScheduled;
    private int postponements;
    /** When the last read of all sockets began. A read includes the time for which the loop waits for data. */
    private long lastReadMicros;
    /**
     * When the first timer of the current iteration was due, in nanoseconds of Netty's clock, or {@link #NO_DEADLINE}
     * if no timer was set.
     */
    private long wakeUpDeadlineNanos = NO_DEADLINE;

    private long recentLagMicros;

    /** Creates the loop and its thread, which runs until {@link #shutDown}. */
    public ReadTrackingEventLoop(MonotonicClock clock) {
        this.clock = clock;
        group = new MultiThreadIoEventLoopGroup(1, trackingFactory(NioIoHandler.newFactory()));
        loop = group.next();
    }

    public MonotonicClock clock() {
        return clock;
    }

    public EventLoop nettyEventLoop() {
        return loop;
    }

    /**
     * Creates the allocator of the buffers that the sockets of one bootstrap are read into. Each socket of the event
     * loop has to use such an allocator, because it limits the time that the loop spends on reading.
     *
     * @param maxReadsPerIteration how often a socket is read at most in one iteration of the event loop
     * @param untilEmpty whether a socket is read until it is empty or at its end; otherwise only until a read does not
     *     fill its buffer
     */
    public AdaptiveRecvByteBufAllocator newReadBuffers(int maxReadsPerIteration, boolean untilEmpty) {
        AdaptiveRecvByteBufAllocator buffers = new ReadBuffers(readBudget, untilEmpty);
        buffers.maxMessagesPerRead(maxReadsPerIteration);
        return buffers;
    }

    /**
     * Ends the thread of the loop and closes all of its channels. Pending timers do not run. Does not wait until the
     * thread has ended.
     */
    public void shutDown() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /**
     * Runs {@code attemptStart} in a later task, once the last read of all sockets is at most
     * {@link #MAX_READ_AGE_MICROS} old and its results have been handled. Data that has arrived since that read may
     * still be unread. If the loop stays late, runs {@code attemptStart} after {@link #MAX_POSTPONEMENTS} postponements
     * in any case, but never while the client's end may lie behind input that the loop has not read yet.
     *
     * @param clientInputRead returns whether the client's socket has been read to the end, or it does not matter any
     *     more; called repeatedly until it returns true
     */
    public void runAfterRecentRead(BooleanSupplier clientInputRead, Runnable attemptStart) {
        pendingAttemptStarts.add(new AttemptStart(clientInputRead, attemptStart));
        if (!attemptStartsScheduled) {
            attemptStartsScheduled = true;
            // When Netty finds a connection closed, it reports this in a separate task. The nested execute lets such a
            // task run first.
            loop.execute(() -> loop.execute(this::runPendingAttemptStarts));
        }
    }

    private void runPendingAttemptStarts() {
        boolean readIsOld = clock.nowMicros() - lastReadMicros > MAX_READ_AGE_MICROS;
        if (readIsOld && postponements++ < MAX_POSTPONEMENTS) {
            runPendingAttemptStartsAfterNextRead();
            return;
        }
        attemptStartsScheduled = false;
        postponements = 0;
        // Runs only the starts that are pending now. Starts that are added meanwhile have scheduled another call.
        boolean someWait = false;
        for (int remaining = pendingAttemptStarts.size(); remaining > 0; remaining--) {
            AttemptStart next = pendingAttemptStarts.poll();
            if (next.clientInputRead().getAsBoolean()) {
                FaultIsolation.run("attempt_start", next.start());
            } else {
                pendingAttemptStarts.add(next);
                someWait = true;
            }
        }
        if (someWait && !attemptStartsScheduled) {
            attemptStartsScheduled = true;
            runPendingAttemptStartsAfterNextRead();
        }
    }

    private void runPendingAttemptStartsAfterNextRead() {
        // The new timer is due at once, but the loop reads its sockets before it runs the timer.
        loop.schedule(this::runPendingAttemptStarts, 1, TimeUnit.NANOSECONDS);
    }

    /** Makes the loop complete a read of all sockets soon after the present one, even if none of them is ready. */
    public void readAllSocketsSoon() {
        // A timer that is set while tasks run ends the next wait for sockets at once.
        loop.execute(() -> loop.schedule(() -> {}, 1, TimeUnit.NANOSECONDS));
    }

    /** Returns when the last read of all sockets began. All data that had arrived by then has been read. */
    public long lastReadMicros() {
        return lastReadMicros;
    }

    /**
     * Returns by how many microseconds the loop is late for its timers, or 0 if it is on time. Data that is read now
     * may have waited in its socket for this time; the socket itself does not tell when data arrived.
     */
    public long currentLagMicros() {
        if (wakeUpDeadlineNanos == NO_DEADLINE) {
            return 0;
        }
        long lagMicros = (loop.ticker().nanoTime() - wakeUpDeadlineNanos) / 1000;
        return lagMicros < MIN_LAG_MICROS ? 0 : lagMicros;
    }

    /**
     * Returns for how long bytes of a connection that are read now may have waited in its socket, in microseconds:
     * because the loop is late, or because an earlier iteration had no time left to read them.
     */
    public long maxUnreadMicros(Channel channel) {
        return channel.unsafe().recvBufAllocHandle() instanceof ReadBuffers.BudgetedHandle handle
                ? Math.max(currentLagMicros(), handle.maxUnreadMicros())
                : currentLagMicros();
    }

    /**
     * Returns how long the iterations of the loop spent on received bytes since the last call, as keys and values for
     * the log with a leading space.
     */
    public String summarizeReadsAndReset() {
        return readBudget.summarizeAndReset();
    }

    /** Returns whether the loop has less time for reading than its connections need at present. */
    public boolean lacksReadTime() {
        return readBudget.lacksTime();
    }

    /**
     * Returns whether a socket may have unread input, and the end of the connection behind it, because its last read
     * was cut short.
     */
    public boolean mayHaveUnreadInput(Channel channel) {
        return channel.unsafe().recvBufAllocHandle() instanceof ReadBuffers.BudgetedHandle handle && handle.isBehind();
    }

    /** Records by how many microseconds a periodic task was late. Must be called on each run of one such task. */
    public void recordLag(long lagMicros) {
        recentLagMicros = Math.max(lagMicros, recentLagMicros - recentLagMicros / LAG_DECAY_DIVISOR);
    }

    /** Returns the largest recent lag in microseconds, which decays with each {@link #recordLag}. */
    public long recentLagMicros() {
        return recentLagMicros;
    }

    /** The start of an attempt, and whether the input of its client has been read. */
    private record AttemptStart(BooleanSupplier clientInputRead, Runnable start) {}

    private IoHandlerFactory trackingFactory(IoHandlerFactory delegate) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new TrackingIoHandler(delegate.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return delegate.isChangingThreadSupported();
            }
        };
    }

    /** Records when each read of all sockets began, and passes all calls on to the delegate. */
    private final class TrackingIoHandler implements IoHandler {
        private final IoHandler delegate;

        TrackingIoHandler(IoHandler delegate) {
            this.delegate = delegate;
        }

        @Override
        public int run(IoHandlerContext context) {
            long startMicros = clock.nowMicros();
            wakeUpDeadlineNanos = context.deadlineNanos();
            readBudget.startIteration();
            int handled = delegate.run(context);
            readBudget.finishIteration();
            lastReadMicros = startMicros;
            return handled;
        }

        @Override
        public void initialize() {
            delegate.initialize();
        }

        @Override
        public void prepareToDestroy() {
            delegate.prepareToDestroy();
        }

        @Override
        public void destroy() {
            delegate.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return delegate.register(handle);
        }

        @Override
        public void wakeup() {
            delegate.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return delegate.isCompatible(type);
        }
    }
}
