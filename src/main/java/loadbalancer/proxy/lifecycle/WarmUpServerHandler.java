package loadbalancer.proxy.lifecycle;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * The server of a warm-up, which acts as endpoint and as discovery service. Answers requests and immediate discovery
 * calls at once. Never answers a long poll, as if the endpoint list did not change.
 */
final class WarmUpServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String NO_CHANGES = "{\"generation\":1,\"reset\":false,\"instances\":[]}";
    private static final String LOAD_REPORT = "TEXT inflight=0, queue=0, util=0.1";

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        boolean isDiscoveryCall = request.uri().startsWith("/registry/");
        boolean isLongPoll = isDiscoveryCall && !request.uri().endsWith("wait=0");
        if (!isLongPoll) {
            context.writeAndFlush(response(isDiscoveryCall ? NO_CHANGES : LOAD_REPORT));
        }
    }

    private static FullHttpResponse response(String body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length()).set(ProtocolConstants.LOAD_REPORT, body);
        return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
