package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BiConsumer;

/** Turns the result of a request into its final response. */
final class FinalResponseWriter implements ResponseHandler {
    private final BiConsumer<ClientResponse, ConnectionReuse> connection;
    private final ConnectionReuse requestedReuse;

    /** {@code connection} writes the response. */
    FinalResponseWriter(BiConsumer<ClientResponse, ConnectionReuse> connection, ConnectionReuse requestedReuse) {
        this.connection = connection;
        this.requestedReuse = requestedReuse;
    }

    @Override
    public void onServed(ByteBuf body) {
        connection.accept(ClientResponse.served(body), requestedReuse);
    }

    @Override
    public void onRejected(long retryAfterMicros) {
        connection.accept(ClientResponse.rejected(retryAfterMicros), requestedReuse);
    }

    @Override
    public void onFailed() {
        connection.accept(ClientResponse.withoutBody(HttpResponseStatus.BAD_GATEWAY), requestedReuse);
    }
}
