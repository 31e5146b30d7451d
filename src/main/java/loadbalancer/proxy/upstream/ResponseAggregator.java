package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Aggregates responses whose headers determine where the response ends. Rejects any other response with a
 * {@link CorruptedFrameException}. A response that ends when its connection closes can't be distinguished from a
 * truncated response, and a status of 101 (switching protocols) is not followed by a response to the request. Used by
 * one connection, on its event loop.
 */
final class ResponseAggregator extends HttpObjectAggregator {
    private boolean inProgress;

    ResponseAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    /** Returns whether a response has begun but has not ended. */
    boolean inProgress() {
        return inProgress;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        if (!start.decoderResult().isSuccess() || !hasKnownEnd(start)) {
            content.release();
            throw new CorruptedFrameException("response is malformed, or its headers do not determine where it ends");
        }
        inProgress = true;
        return super.beginAggregation(start, content);
    }

    private static boolean hasKnownEnd(HttpMessage start) {
        int status = start instanceof HttpResponse response ? response.status().code() : 0;
        if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            return false;
        }
        return HttpStatusClass.INFORMATIONAL.contains(status)
                || HttpUtil.isTransferEncodingChunked(start)
                || start.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() == 1;
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        inProgress = false;
        super.finishAggregation(aggregated);
    }
}
