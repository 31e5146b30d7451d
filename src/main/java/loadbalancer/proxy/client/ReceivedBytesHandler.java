package loadbalancer.proxy.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import loadbalancer.proxy.eventloop.DecodedParts;

/**
 * The first handler of a client's connection, before the decoder: records when bytes arrive and, once the decoder has
 * handled them, whether a request is partly received. Discards bytes once the connection accepts no further requests.
 * The socket is read even then, because otherwise the end of the connection would not be noticed.
 */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;
    private final RequestDecoder decoder;

    ReceivedBytesHandler(ClientConnection connection, RequestDecoder decoder) {
        this.connection = connection;
        this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (!connection.acceptsRequests()) {
            ReferenceCountUtil.release(bytes);
            DecodedParts.record(context.channel(), 0);
            return;
        }
        connection.bytesReceived();
        context.fireChannelRead(bytes);
        connection.bytesDecoded(decoder.hasPartialRequest());
        if (decoder.hasCostlyRequest()) {
            connection.rejectCostlyRequestIfTimeIsShort();
        }
        connection.updateMemory();
    }
}
