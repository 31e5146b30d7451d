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
 * An event loop of one thread that knows when it last read all of its sockets. In a loop that is late, a client's
 * disconnect may still wait in one socket while an event of another one starts an attempt for it. So an attempt starts
 * behind a read of all sockets that began shortly before ({@link #afterPendingReads}); this takes up to
 * {@link #MAX_POSTPONEMENTS} iterations of the loop and never waits.
 *
 * <p>{@link #clock}, {@link #eventLoop} and {@link #shutDown} may be called from any thread, the rest on the event loop
 * only.
 */
public final class ReadTrackingEventLoop {
    /** How old the last read may be: a part of the 100 ms after a disconnect in which an attempt may still start. */
    public static final long MAX_READ_AGE_MICROS = 25_000;
    /** Where every iteration takes longer than that, waiting for a shorter one would never end. */
    private static final int MAX_POSTPONEMENTS = 2;
    /** Below this a timer is as exact as those of the system. */
    private static final long MIN_LATE_MICROS = 20_000;
    /** Part of the recent lag that is lost with each tick: half of it after some twenty ticks. */
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
    /** When the loop had to wake up at the latest, by its own clock. */
    private long wakeUpDeadlineNanos = NO_DEADLINE;

    private long recentLagMicros;

    /** Starts the one thread of the loop; {@link #shutDown} ends it. */
    public ReadTrackingEventLoop(MonotonicClock clock) {
        this.clock = clock;
        group = new MultiThreadIoEventLoopGroup(1, trackingFactory(NioIoHandler.newFactory()));
        loop = group.next();
    }

    public MonotonicClock clock() {
        return clock;
    }

    public EventLoop eventLoop() {
        return loop;
    }

    /** Ends the thread at once, with all channels and timers on it. */
    public void shutDown() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Runs {@code start} once all that the sockets hold by now has been read and handled. */
    public void afterPendingReads(Runnable start) {
        pendingStarts.add(start);
        if (!startScheduled) {
            startScheduled = true;
            // A closed connection that a read finds is reported by a task of its own: this is to come behind it.
            loop.execute(() -> loop.execute(this::runPendingStarts));
        }
    }

    private void runPendingStarts() {
        boolean readIsOld = clock.nowMicros() - lastReadMicros > MAX_READ_AGE_MICROS;
        if (readIsOld && postponements++ < MAX_POSTPONEMENTS) {
            // Due at once, but the loop reads its sockets before it runs a timer that is new.
            loop.schedule(this::runPendingStarts, 1, TimeUnit.NANOSECONDS);
            return;
        }
        startScheduled = false;
        postponements = 0;
        // Starts that these lead to are for the next time.
        for (int remaining = pendingStarts.size(); remaining > 0; remaining--) {
            FaultBarrier.run("attempt_start", pendingStarts.poll());
        }
    }

    /** When the last read of all sockets began: all that had come by then is handled. */
    public long lastReadMicros() {
        return lastReadMicros;
    }

    /**
     * By how much the loop is behind its timers, 0 where it is in time: what is read now may have waited in its socket
     * for so long, which the socket itself does not tell.
     */
    public long lateMicros() {
        if (wakeUpDeadlineNanos == NO_DEADLINE) {
            return 0;
        }
        long lateMicros = (loop.ticker().nanoTime() - wakeUpDeadlineNanos) / 1000;
        return lateMicros < MIN_LATE_MICROS ? 0 : lateMicros;
    }

    /** To be called by a periodic task, with the time by which it was late. */
    public void recordLag(long lagMicros) {
        recentLagMicros = Math.max(lagMicros, recentLagMicros - recentLagMicros / LAG_DECAY_DIVISOR);
    }

    /** The largest recent lag, which decays with each periodic task. */
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
