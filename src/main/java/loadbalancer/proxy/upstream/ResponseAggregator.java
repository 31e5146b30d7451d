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
 * Aggregates responses whose headers determine where they end. Any other is rejected with a
 * {@link CorruptedFrameException}: a response that ends when its connection closes can't be distinguished from a
 * truncated one, and 101 (switching protocols) is followed by no response. Used by one connection, on its event loop.
 */
final class ResponseAggregator extends HttpObjectAggregator {
    private boolean inProgress;

    ResponseAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    /** Whether a response has begun but not ended. */
    boolean inProgress() {
        return inProgress;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        if (!start.decoderResult().isSuccess() || !hasKnownEnd(start)) {
            content.release();
            throw new CorruptedFrameException("a response without a known end");
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
