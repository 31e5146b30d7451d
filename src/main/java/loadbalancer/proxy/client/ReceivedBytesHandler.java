package loadbalancer.proxy.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Stands before the decoder of a client's connection: notes when bytes arrive, and releases them unread once the
 * connection accepts no further request. They are received all the same, because only then is the end of the connection
 * noticed.
 */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;

    ReceivedBytesHandler(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (!connection.acceptsRequests()) {
            ReferenceCountUtil.release(bytes);
            return;
        }
        connection.bytesReceived();
        context.fireChannelRead(bytes);
    }
}
