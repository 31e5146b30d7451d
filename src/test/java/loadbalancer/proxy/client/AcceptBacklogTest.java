package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class AcceptBacklogTest {
    private static final long SETUP_MILLIS = 60;
    private static final int CLIENTS = 3;

    private final ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(new MonotonicClock());
    private final AcceptBacklog backlog = new AcceptBacklog(eventLoop);
    private final BlockingQueue<Long> waitsMicros = new LinkedBlockingQueue<>();

    @AfterEach
    void shutDownEventLoop() {
        eventLoop.shutDown();
    }

    /** Listens, and accepts one connection in each iteration of the loop, each of which takes some time. */
    private InetSocketAddress listen() throws InterruptedException {
        Channel listener = new ServerBootstrap()
                .group(eventLoop.nettyEventLoop())
                .channelFactory(NioServerSocketChannel::new)
                .handler(backlog)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AcceptAllocator(CLIENTS, () -> 1))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) throws InterruptedException {
                        waitsMicros.add(backlog.maxWaitMicros());
                        Thread.sleep(SETUP_MILLIS);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    private long nextWaitMillis() throws InterruptedException {
        return waitsMicros.poll(20, TimeUnit.SECONDS) / 1_000;
    }

    /**
     * Guards against requests that are told too much time: they waited behind connections that were accepted a few at a
     * time, without a pause.
     */
    @Test
    void countsWaitBehindConnectionsThatAreAcceptedBeforeWithoutPause() throws Exception {
        InetSocketAddress address = listen();
        CountDownLatch connected = new CountDownLatch(1);
        eventLoop.nettyEventLoop().execute(() -> awaitUninterruptibly(connected));
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Socket(address.getAddress(), address.getPort()));
            }
            connected.countDown();
            assertEquals(0, nextWaitMillis());
            assertTrue(nextWaitMillis() >= SETUP_MILLIS - 1);
            assertTrue(nextWaitMillis() >= 2 * SETUP_MILLIS - 1);
            // Once no connection waits, the next one is accepted at once.
            Thread.sleep(4 * SETUP_MILLIS);
            clients.add(new Socket(address.getAddress(), address.getPort()));
            assertEquals(0, nextWaitMillis());
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
