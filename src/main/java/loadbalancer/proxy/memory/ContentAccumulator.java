package loadbalancer.proxy.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Copies the content of a message into one buffer on the heap while it arrives, and passes it on in one piece at the
 * end of the message. Must be placed between a decoder and an {@link io.netty.handler.codec.http.HttpObjectAggregator}.
 * The aggregator alone would keep each piece in the buffer that it was read into, which may be hundreds of times longer
 * than the piece.
 *
 * <p>Content that arrives in one piece is passed on as it is. Content that is too long is passed on as soon as that is
 * known, so that the aggregator rejects the message. Used by one connection, on its event loop.
 */
public final class ContentAccumulator extends ChannelInboundHandlerAdapter {
    private final int maxBytes;
    /** The content of the current message so far; null if nothing has arrived or it is passed on piece by piece. */
    private ByteBuf content;

    private boolean tooLong;

    /** {@code maxBytes} is the maximum length of the content that the aggregator accepts. */
    public ContentAccumulator(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the memory that the content of an unfinished message holds. */
    public long heldBytes() {
        return content == null ? 0 : content.capacity();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpContent part && !(message instanceof HttpMessage)) {
            handle(context, part);
        } else {
            discard();
            context.fireChannelRead(message);
        }
    }

    private void handle(ChannelHandlerContext context, HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        if (!part.decoderResult().isSuccess()) {
            discard();
        }
        if (tooLong || last && content == null) {
            tooLong = tooLong && !last;
            context.fireChannelRead(part);
        } else if (heldContentBytes() + part.content().readableBytes() > maxBytes) {
            passOnTooLongContent(context, part);
        } else {
            append(part);
            if (last) {
                finish(context, (LastHttpContent) part);
            } else {
                part.release();
            }
        }
    }

    private int heldContentBytes() {
        return content == null ? 0 : content.readableBytes();
    }

    private void append(HttpContent part) {
        if (content == null) {
            content = Unpooled.buffer(part.content().readableBytes());
        }
        content.writeBytes(
                part.content(), part.content().readerIndex(), part.content().readableBytes());
    }

    private void finish(ChannelHandlerContext context, LastHttpContent last) {
        LastHttpContent whole = new DefaultLastHttpContent(content, last.trailingHeaders());
        content = null;
        last.release();
        context.fireChannelRead(whole);
    }

    private void passOnTooLongContent(ChannelHandlerContext context, HttpContent part) {
        tooLong = !(part instanceof LastHttpContent);
        if (content != null) {
            HttpContent first = new DefaultHttpContent(content);
            content = null;
            context.fireChannelRead(first);
        }
        context.fireChannelRead(part);
    }

    private void discard() {
        tooLong = false;
        if (content != null) {
            content.release();
            content = null;
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        discard();
    }
}
