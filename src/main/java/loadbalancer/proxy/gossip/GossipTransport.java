package loadbalancer.proxy.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.SocketBinding;

/**
 * Sends and receives the gossip datagrams between sidecars. A peer is identified by its index in the configured list.
 * Datagrams from other senders and datagrams of more than {@link #MAX_DATAGRAM_BYTES} are dropped. Delivery is not
 * guaranteed, and no datagram is sent again.
 *
 * <p>All methods except the constructor and {@link #listen} run on the event loop that owns the socket. The handler
 * releases received buffers, and Netty releases the buffers that were sent.
 */
public final class GossipTransport {
    private static final int MAX_DATAGRAM_BYTES = 256;

    private final MonotonicClock clock;
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final Map<InetSocketAddress, Integer> peerIndexesByAddress = new HashMap<>();
    private List<InetSocketAddress> peers;
    /** The address that reaches all peers; null if none is configured. */
    private InetSocketAddress broadcastAddress;
    /**
     * Null until {@link #listen} has bound the socket; no datagram is sent before. Written by the thread that starts
     * the sidecar.
     */
    private volatile Channel channel;

    /**
     * Creates a transport that sends and receives no datagrams until {@link #listen} is called.
     * {@code broadcastAddress} is null if no address reaches all peers.
     */
    public GossipTransport(
            MonotonicClock clock,
            LoadBalancerExecutor loadBalancerExecutor,
            List<InetSocketAddress> peers,
            InetSocketAddress broadcastAddress) {
        this.clock = clock;
        this.loadBalancerExecutor = loadBalancerExecutor;
        updatePeers(peers, broadcastAddress);
    }

    /**
     * Replaces the peers. From now on the index of a peer is its index in {@code newPeers}. {@code newBroadcastAddress}
     * is null if no address reaches all peers.
     */
    public void updatePeers(List<InetSocketAddress> newPeers, InetSocketAddress newBroadcastAddress) {
        peers = newPeers;
        broadcastAddress = newBroadcastAddress;
        peerIndexesByAddress.clear();
        for (int i = 0; i < peers.size(); i++) {
            peerIndexesByAddress.put(peers.get(i), i);
        }
    }

    /**
     * Binds the socket. Blocks until it is bound, so it must not be called on the event loop.
     *
     * @throws java.net.BindException (not declared) if the address can't be bound
     */
    public void listen(EventLoop loop, InetSocketAddress address) throws InterruptedException {
        channel = SocketBinding.bind(() -> new Bootstrap()
                .group(loop)
                .channelFactory(() -> new NioDatagramChannel())
                .handler(new DatagramHandler())
                .bind(address));
    }

    /**
     * Sends a message to a peer, or to all peers if {@code peerIndex} is {@link LoadBalancerActions#ALL_SIDECARS}: to
     * the broadcast address or, if there is none, to each peer. Does nothing if there is no such peer, if the message
     * is longer than {@link #MAX_DATAGRAM_BYTES}, or if the socket is not bound.
     */
    public void send(int peerIndex, byte[] message) {
        if (channel == null || message.length > MAX_DATAGRAM_BYTES) {
            return;
        }
        for (InetSocketAddress recipient : recipients(peerIndex)) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(message), recipient));
        }
        channel.flush();
    }

    private List<InetSocketAddress> recipients(int peerIndex) {
        if (peerIndex == LoadBalancerActions.ALL_SIDECARS) {
            return broadcastAddress == null ? peers : List.of(broadcastAddress);
        }
        return peerIndex >= 0 && peerIndex < peers.size() ? List.of(peers.get(peerIndex)) : List.of();
    }

    /** Passes the gossip of peers to the load balancer. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Integer peerIndex = peerIndexesByAddress.get(packet.sender());
            if (peerIndex == null || packet.content().readableBytes() > MAX_DATAGRAM_BYTES) {
                return;
            }
            byte[] message = ByteBufUtil.getBytes(packet.content());
            loadBalancerExecutor.submit(
                    "gossip", loadBalancer -> loadBalancer.onGossip(clock.nowMicros(), peerIndex, message), () -> {});
        }

        /** Ignores the failure: an earlier datagram could not be delivered, and the socket remains usable. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
    }
}
