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
 * Puts responses together whose head states their length. Any other is rejected with a {@link CorruptedFrameException}:
 * one that ends with its connection can't be told from one cut short, and after a switch of protocols no response
 * follows. Belongs to one connection and its event loop.
 */
final class ResponseAggregator extends HttpObjectAggregator {
    private boolean inProgress;

    ResponseAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    /** True from a response's head to its end. */
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
