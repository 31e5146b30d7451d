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
 * An event loop of one thread that knows when it last read all of its sockets. An attempt begins only behind a whole
 * reading that started just before: in a loop that is late, a client's leaving waits in a socket that comes after the
 * one that decided the attempt. Costs a send up to {@link #MOST_MORE} iterations of the loop and no wait.
 */
public final class ReadTrackingEventLoop {
    /** A client's leaving may be unseen for so long: a part of the 100 ms after which nothing may begin for it. */
    public static final long FRESH_US = 25_000;
    /** Where each iteration takes longer than that, waiting for a quick one would wait for ever. */
    private static final int MOST_MORE = 2;
    /** A loop that is less late than this is not late: its timers are as exact as the system's. */
    private static final long LATE_LEAST_US = 20_000;
    /** What is left after each tick of what was the longest lag: half of it after some twenty ticks. */
    private static final int LAG_FADES_BY = 32;

    private static final long NEVER = -1;

    private final MonotonicClock clock;
    private final ArrayDeque<Runnable> begins = new ArrayDeque<>();
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private boolean due;
    private int more;
    /** When the last whole reading began. */
    private long readUs;
    /** When the loop was to wake at the latest, by its own clock; {@link #NEVER} where nothing was due. */
    private long wakeNanos = NEVER;

    private long recentLagUs;

    public ReadTrackingEventLoop(MonotonicClock clock) {
        this.clock = clock;
        group = new MultiThreadIoEventLoopGroup(1, tracked(NioIoHandler.newFactory()));
        loop = group.next();
    }

    public MonotonicClock clock() {
        return clock;
    }

    public EventLoop eventLoop() {
        return loop;
    }

    /** Ends the thread at once, with all that is open or scheduled on it. */
    public void shutDown() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Runs {@code begin} once what the sockets have by now has been read, on the loop, which alone may call this. */
    public void afterPendingReads(Runnable begin) {
        begins.add(begin);
        if (!due) {
            due = true;
            // The ends of connections that a reading finds are told by tasks of their own: behind all of these.
            loop.execute(() -> loop.execute(this::begin));
        }
    }

    private void begin() {
        if (clock.nowMicros() - readUs > FRESH_US && more++ < MOST_MORE) {
            // Due at once, and yet only in the next iteration, behind its reading.
            loop.schedule(this::begin, 1, TimeUnit.NANOSECONDS);
            return;
        }
        due = false;
        more = 0;
        for (int left = begins.size(); left > 0; left--) {
            FaultBarrier.run("the beginning of an attempt", begins.poll());
        }
    }

    /** When the last whole reading began, in module time: all that had come by then has been handled. */
    public long lastReadMicros() {
        return readUs;
    }

    /**
     * How long what is read now may have waited in its socket: the time by which the loop is behind its timers. Of a
     * loop that had no processor the sockets themselves tell nothing. Zero where the loop is in time.
     */
    public long lateMicros() {
        long us = wakeNanos == NEVER ? 0 : (loop.ticker().nanoTime() - wakeNanos) / 1000;
        return us < LATE_LEAST_US ? 0 : us;
    }

    /** With each tick: by how much it was late. */
    public void recordTick(long lagUs) {
        recentLagUs = Math.max(lagUs, recentLagUs - recentLagUs / LAG_FADES_BY);
    }

    /** How late the loop was at most of late, fading with the ticks since. */
    public long recentLagMicros() {
        return recentLagUs;
    }

    private IoHandlerFactory tracked(IoHandlerFactory sockets) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new Reading(sockets.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return sockets.isChangingThreadSupported();
            }
        };
    }

    /** Notes when each whole reading began. */
    private final class Reading implements IoHandler {
        private final IoHandler sockets;

        Reading(IoHandler sockets) {
            this.sockets = sockets;
        }

        @Override
        public int run(IoHandlerContext context) {
            long begunUs = clock.nowMicros();
            wakeNanos = context.deadlineNanos();
            int handled = sockets.run(context);
            readUs = begunUs;
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
