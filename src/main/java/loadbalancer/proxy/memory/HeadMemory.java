package loadbalancer.proxy.memory;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Estimates the memory of the head of the message that a decoder is decoding. A header field of a few bytes takes up
 * many times its length as an object. Used by one decoder, on its event loop.
 */
public final class HeadMemory {
    /** A message and its empty header map. */
    private static final int MESSAGE_BYTES = 512;
    /** The entry of a header field in the header map, and its two strings without their characters. */
    private static final int FIELD_BYTES = 160;

    private boolean inHead;
    private int fieldsInDecodeCall;
    private long bytes;

    /** Returns the estimated memory of a complete head. */
    public static long of(HttpHeaders headers) {
        long sum = MESSAGE_BYTES;
        for (Iterator<Map.Entry<CharSequence, CharSequence>> fields = headers.iteratorCharSequence();
                fields.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            sum += FIELD_BYTES + field.getKey().length() + field.getValue().length();
        }
        return sum;
    }

    /** Records that the first line of a message was decoded. */
    public void begin() {
        inHead = true;
        bytes = MESSAGE_BYTES;
    }

    /** Records that the name of a header or trailer field was decoded. */
    public void addField() {
        fieldsInDecodeCall++;
    }

    /**
     * Records a call of the decoder. The head is held until the message has ended.
     *
     * @param consumedBytes how much of its input the decoder has used up
     * @param decoded what the decoder has produced
     * @return how many parts the decoder has decoded: fields, and objects that it has produced
     */
    public int recordDecodeCall(int consumedBytes, List<Object> decoded) {
        int parts = fieldsInDecodeCall + decoded.size();
        if (inHead || fieldsInDecodeCall > 0) {
            bytes += consumedBytes + (long) fieldsInDecodeCall * FIELD_BYTES;
        }
        fieldsInDecodeCall = 0;
        inHead = inHead && decoded.isEmpty();
        if (!decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent) {
            bytes = 0;
        }
        return parts;
    }

    /** Returns the estimated memory of the head of the current message; 0 if there is none. */
    public long bytes() {
        return bytes;
    }
}
