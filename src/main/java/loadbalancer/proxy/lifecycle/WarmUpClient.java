package loadbalancer.proxy.lifecycle;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.protocol.ProtocolConstants;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.RequestClass;

/**
 * The client of a warm-up. Sends requests of all classes in turn, one at a time on each connection, until
 * {@code maxResponses} responses have arrived. {@link #cancel}, {@link #await} and {@link #responseCount} may be called
 * from any thread; all other methods run on the event loop of the connections.
 */
final class WarmUpClient {
    private final List<RequestClass> requestClasses;
    private final int maxResponses;
    private final CountDownLatch finished = new CountDownLatch(1);
    private int requestsSent;
    /** Written only by the event loop. */
    private volatile int responseCount;

    WarmUpClient(List<RequestClass> requestClasses, int maxResponses) {
        this.requestClasses = requestClasses;
        this.maxResponses = maxResponses;
    }

    /** Creates the handler of one connection. It sends its first request when the connection is open. */
    ChannelHandler newHandler() {
        return new Handler();
    }

    /** Makes {@link #await} return at once, also if {@code await} is called later. */
    void cancel() {
        finished.countDown();
    }

    /** Blocks until enough responses have arrived, {@link #cancel} is called, or the timeout has passed. */
    void await(long timeoutMillis) throws InterruptedException {
        finished.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    int responseCount() {
        return responseCount;
    }

    private FullHttpRequest nextRequest() {
        RequestClass requestClass = requestClasses.get(requestsSent++ % requestClasses.size());
        Idempotency idempotency = requestClass.idempotency();
        String requestId = "warm-up-" + requestsSent;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST, "/api");
        request.headers()
                .set(HttpHeaderNames.HOST, "api.internal")
                .set(ProtocolConstants.REQUEST_ID, requestId)
                .set(ProtocolConstants.REQUEST_CLASS, requestClass.name())
                .set(ProtocolConstants.REMAINING_MILLIS, Math.max(1, requestClass.deadlineMicros() / 1000))
                .set(HttpHeaderNames.COOKIE, ProtocolConstants.ROUTING_KEY_COOKIE + "=" + requestsSent)
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) {
            request.headers().set(ProtocolConstants.IDEMPOTENCY_KEY, requestId);
        }
        return request;
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(nextRequest());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            responseCount++;
            if (responseCount >= maxResponses) {
                finished.countDown();
            } else {
                context.writeAndFlush(nextRequest());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
