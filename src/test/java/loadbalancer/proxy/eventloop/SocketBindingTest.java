package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.BindException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SocketBindingTest {
    private final Channel channel = new EmbeddedChannel();
    private final AtomicInteger attempts = new AtomicInteger();

    /** A moment without descriptors or memory must not end the start of a sidecar. */
    @Test
    void repeatsFailedBind() throws Exception {
        assertSame(channel, SocketBinding.bind(() -> bindThatSucceedsAt(3)));
        assertEquals(3, attempts.get());
    }

    @Test
    void throwsLastFailure() {
        assertThrows(BindException.class, () -> SocketBinding.bind(() -> bindThatSucceedsAt(Integer.MAX_VALUE)));
        assertEquals(SocketBinding.MAX_ATTEMPTS, attempts.get());
    }

    private ChannelFuture bindThatSucceedsAt(int attempt) {
        DefaultChannelPromise promise = new DefaultChannelPromise(channel, GlobalEventExecutor.INSTANCE);
        if (attempts.incrementAndGet() == attempt) {
            promise.setSuccess();
        } else {
            promise.setFailure(new BindException("no buffer space"));
        }
        return promise;
    }
}
