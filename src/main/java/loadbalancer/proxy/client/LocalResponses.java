package loadbalancer.proxy.client;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BooleanSupplier;
import loadbalancer.proxy.protocol.HeaderValues;

/** Responds to the requests that no endpoint has to handle. Confined to the event loop. */
final class LocalResponses {
    private static final String READINESS_PATH = "/health/ready";
    private static final String API_PATH = "/api";
    private static final String API_PATH_PREFIX = "/api/";

    private final BooleanSupplier ready;

    /** {@code ready} returns whether the sidecar reports that it is ready. */
    LocalResponses(BooleanSupplier ready) {
        this.ready = ready;
    }

    /** Returns the response to a request, or null if an endpoint has to handle it. */
    ClientResponse responseTo(ReceivedRequest received) {
        FullHttpRequest message = received.message();
        String path = HeaderValues.path(message.uri());
        if (received.rejected()) {
            return ClientResponse.rejected();
        }
        if (path.equals(READINESS_PATH) && message.method().equals(HttpMethod.GET)) {
            return ClientResponse.withoutBody(
                    ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        boolean forEndpoint = path.equals(API_PATH) || path.startsWith(API_PATH_PREFIX);
        return forEndpoint ? null : ClientResponse.withoutBody(HttpResponseStatus.NOT_FOUND);
    }
}
