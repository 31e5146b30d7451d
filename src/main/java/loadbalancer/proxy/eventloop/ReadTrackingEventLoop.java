package loadbalancer.proxy.eventloop;

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

/**
 * A single-threaded event loop that knows when it last read all of its sockets. If the loop is late, a client's
 * disconnect may still be unread in one socket while an event from another socket starts an attempt for that client.
 * Therefore an attempt is started only after a recent read of all sockets ({@link #afterPendingReads}). This takes up
 * to {@link #MAX_POSTPONEMENTS} further iterations of the loop, but never blocks it.
 *
 * <p>{@link #clock}, {@link #nettyEventLoop} and {@link #shutDown} may be called from any thread, all other methods
 * only on the event loop.
 */
public final class ReadTrackingEventLoop {
    /**
     * How old the last read of all sockets may be when an attempt starts. An attempt may start up to 100 ms after its
     * client's disconnect; this is a part of that.
     */
    public static final long MAX_READ_AGE_MICROS = 25_000;
    /**
     * How often starts are postponed because the last read is too old. Without a limit they would never happen if every
     * iteration took longer than {@link #MAX_READ_AGE_MICROS}.
     */
    private static final int MAX_POSTPONEMENTS = 2;
    /** A smaller delay is within the normal inaccuracy of timers and counts as none. */
    private static final long MIN_LAG_MICROS = 20_000;
    /** The recent lag decreases by this fraction with each {@link #recordLag}: by half after about twenty calls. */
    private static final int LAG_DECAY_DIVISOR = 32;

    private static final long NO_DEADLINE = -1;

    private final MonotonicClock clock;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final ArrayDeque<Runnable> pendingStarts = new ArrayDeque<>();
    private boolean startScheduled;
    private int postponements;
    /** When the last read of all sockets began. */
    private long lastReadMicros;
    /**
     * When the first timer of the current iteration was due, by the loop's own clock; {@link #NO_DEADLINE} if there was
     * none.
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

    /** Ends the thread at once and closes all of its channels; pending timers don't run. */
    public void shutDown() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /**
     * Runs {@code start} after everything that the sockets contain now has been read and handled; on a loop that stays
     * late, after {@link #MAX_POSTPONEMENTS} iterations in any case.
     */
    public void afterPendingReads(Runnable start) {
        pendingStarts.add(start);
        if (!startScheduled) {
            startScheduled = true;
            // Netty reports a connection that was found closed in a separate task. Two steps let that task run first.
            loop.execute(() -> loop.execute(this::runPendingStarts));
        }
    }

    private void runPendingStarts() {
        boolean readIsOld = clock.nowMicros() - lastReadMicros > MAX_READ_AGE_MICROS;
        if (readIsOld && postponements++ < MAX_POSTPONEMENTS) {
            // Due at once, but the loop reads its sockets before it runs a new timer.
            loop.schedule(this::runPendingStarts, 1, TimeUnit.NANOSECONDS);
            return;
        }
        startScheduled = false;
        postponements = 0;
        // Starts that are added meanwhile are left for the next round.
        for (int remaining = pendingStarts.size(); remaining > 0; remaining--) {
            FaultIsolation.run("attempt_start", pendingStarts.poll());
        }
    }

    /** When the last read of all sockets began. Everything that had arrived by then has been read. */
    public long lastReadMicros() {
        return lastReadMicros;
    }

    /**
     * By how many microseconds the loop is late for its timers; 0 if it is in time. Data that is read now may have
     * waited in its socket for this long, which can't be found out from the socket.
     */
    public long currentLagMicros() {
        if (wakeUpDeadlineNanos == NO_DEADLINE) {
            return 0;
        }
        long lagMicros = (loop.ticker().nanoTime() - wakeUpDeadlineNanos) / 1000;
        return lagMicros < MIN_LAG_MICROS ? 0 : lagMicros;
    }

    /** Records by how much a periodic task ran late. Must be called by one periodic task, on each run. */
    public void recordLag(long lagMicros) {
        recentLagMicros = Math.max(lagMicros, recentLagMicros - recentLagMicros / LAG_DECAY_DIVISOR);
    }

    /** The largest recent lag in microseconds, which decays with each {@link #recordLag}. */
    public long recentLagMicros() {
        return recentLagMicros;
    }

    private IoHandlerFactory trackingFactory(IoHandlerFactory sockets) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new TrackingIoHandler(sockets.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return sockets.isChangingThreadSupported();
            }
        };
    }

    /** Records when each read of all sockets began; everything else is delegated. */
    private final class TrackingIoHandler implements IoHandler {
        private final IoHandler sockets;

        TrackingIoHandler(IoHandler sockets) {
            this.sockets = sockets;
        }

        @Override
        public int run(IoHandlerContext context) {
            long startMicros = clock.nowMicros();
            wakeUpDeadlineNanos = context.deadlineNanos();
            int handled = sockets.run(context);
            lastReadMicros = startMicros;
            return handled;
        }

        @Override
        public void initialize() {
            sockets.initialize();
        }

        @Override
        public void prepareToDestroy() {
            sockets.prepareToDestroy();
        }

        @Override
        public void destroy() {
            sockets.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return sockets.register(handle);
        }

        @Override
        public void wakeup() {
            sockets.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return sockets.isCompatible(type);
        }
    }
}
