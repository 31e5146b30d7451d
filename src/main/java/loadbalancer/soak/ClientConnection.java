package loadbalancer.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.soak.History.ClientOutcome;

/** One connection of a client, with its requests in the order of their responses. Confined to the event loop. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final AtomicInteger COUNT = new AtomicInteger();

    private final int number = COUNT.incrementAndGet();
    private final ClientStandIn owner;
    private final Channel channel;
    private final SoakContext context;
    /** Whether the sidecar may not close the connection before it has read the first request. */
    private final boolean firstRequestMustBeRead;

    private final ArrayDeque<OpenRequest> openRequests = new ArrayDeque<>();
    private int process;
    private int responses;
    private boolean left;

    ClientConnection(ClientStandIn owner, Channel channel, SoakContext context, boolean firstRequestMustBeRead) {
        this.owner = owner;
        this.channel = channel;
        this.context = context;
        this.firstRequestMustBeRead = firstRequestMustBeRead;
    }

    /** Returns the number of the connection, which no other connection has. */
    int number() {
        return number;
    }

    int process() {
        return process;
    }

    Channel channel() {
        return channel;
    }

    void send(List<OpenRequest> requests, int currentProcess) {
        process = currentProcess;
        openRequests.addAll(requests);
        StringBuilder text = new StringBuilder();
        requests.forEach(request -> text.append(request.text()));
        long nowMicros = context.clock().nowMicros();
        for (OpenRequest request : requests) {
            request.sentMicros = nowMicros;
            context.history().sentRequestIds.add(request.id);
        }
        channel.writeAndFlush(RawHttp.bytes(text.toString()));
    }

    /** Closes the connection as a client that does not wait any longer. */
    void leave() {
        if (openRequests.isEmpty() || !channel.isActive()) {
            return;
        }
        left = true;
        for (OpenRequest request : openRequests) {
            owner.record(request, ClientOutcome.CLIENT_LEFT, 0, "", this);
            owner.mayRepeatIdAfterLeaving(request, process);
        }
        openRequests.clear();
        channel.close();
    }

    void recordPending() {
        for (OpenRequest request : openRequests) {
            owner.record(request, ClientOutcome.PENDING, 0, "", this);
        }
        openRequests.clear();
    }

    /**
     * Returns whether the next response answers the first request of the connection, which the sidecar may not leave
     * unread.
     */
    boolean isFresh() {
        return responses == 0 && firstRequestMustBeRead;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, FullHttpResponse response) {
        OpenRequest request = openRequests.poll();
        if (request == null) {
            channel.close();
            return;
        }
        boolean complete = response.decoderResult().isSuccess();
        if (complete) {
            String body = response.content().toString(StandardCharsets.ISO_8859_1);
            owner.record(request, ClientOutcome.RESPONSE, response.status().code(), body, this);
        } else {
            owner.record(request, ClientOutcome.CONNECTION_CLOSED, 0, "", this);
        }
        responses++;
        if (openRequests.isEmpty() && channel.isActive()) {
            owner.becameIdle(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        owner.closed(this);
        if (left || openRequests.isEmpty()) {
            return;
        }
        List<OpenRequest> unread = new ArrayList<>();
        boolean first = true;
        for (OpenRequest request : openRequests) {
            boolean mayBeUnread = !(first && isFresh()) && !hasReachedEndpoint(request);
            if (mayBeUnread && !request.resent) {
                request.resent = true;
                unread.add(request);
            } else if (!mayBeUnread) {
                owner.record(request, ClientOutcome.CONNECTION_CLOSED, 0, "", this);
            }
            first = false;
        }
        openRequests.clear();
        if (!unread.isEmpty()) {
            owner.resend(unread);
        }
    }

    private boolean hasReachedEndpoint(OpenRequest request) {
        return context.history().endpointCalls.stream()
                .anyMatch(call -> call.requestId().equals(request.id));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        channel.close();
    }
}
