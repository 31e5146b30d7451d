package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The turns of the event loop, each of which reads what the sockets have and then runs what is due. An attempt begins
 * only behind a whole reading that started just before: in a loop that is late, a client's leaving waits in a socket
 * that comes after the one that decided the attempt. Costs a send up to {@link #MOST_MORE} turns and no wait.
 */
final class Turns {
    /** A client's leaving may be unseen for so long: a part of the 100 ms after which nothing may begin for it. */
    static final long FRESH_US = 25_000;
    /** Where each turn takes longer than that, waiting for a quick one would wait for ever. */
    private static final int MOST_MORE = 2;

    private final Clock clock;
    private final ArrayDeque<Runnable> begins = new ArrayDeque<>();
    private EventLoop loop;
    private boolean due;
    private int more;
    /** When the last whole reading began. */
    private long readUs;

    Turns(Clock clock) {
        this.clock = clock;
    }

    /** Whose turns these are: set once, before anything is to begin. */
    void of(EventLoop owner) {
        loop = owner;
    }

    /** Runs {@code begin} once what the sockets have by now has been read, on the loop, which alone may call this. */
    void onceRead(Runnable begin) {
        begins.add(begin);
        if (!due) {
            due = true;
            // The ends of connections that a reading finds are told by tasks of their own: behind all of these.
            loop.execute(() -> loop.execute(this::begin));
        }
    }

    private void begin() {
        if (clock.now() - readUs > FRESH_US && more++ < MOST_MORE) {
            // Due at once, and yet only in the next turn, behind its reading.
            loop.schedule(this::begin, 1, TimeUnit.NANOSECONDS);
            return;
        }
        due = false;
        more = 0;
        for (int left = begins.size(); left > 0; left--) {
            try {
                begins.poll().run();
            } catch (RuntimeException e) {
                Log.trouble("an attempt could not begin", e);
            }
        }
    }

    IoHandlerFactory over(IoHandlerFactory sockets) {
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
            long begunUs = clock.now();
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
