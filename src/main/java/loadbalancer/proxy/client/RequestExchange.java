package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Request;
import loadbalancer.proxy.upstream.UpstreamCall;

/** One request, from its last byte read to its one final answer and the end of its last attempt. */
final class RequestExchange {
    /** Where the final answer goes. Each exchange calls one of these once. */
    interface Answer {
        void served(ByteBuf body);

        void refused(long retryAfterUs);

        void failed();
    }

    final Request request;
    final HttpMethod method;
    final String uri;
    /** Null where the request carries no key. */
    final String idempotencyKey;

    final byte[] body;
    /** Module time by which the final answer must be on its way. */
    final long deadlineUs;

    final Answer answer;
    /** When the module was told of it. */
    long takenUs;

    final List<UpstreamCall> attempts = new ArrayList<>(1);
    boolean over;

    RequestExchange(
            Request request,
            HttpMethod method,
            String uri,
            String idempotencyKey,
            byte[] body,
            long deadlineUs,
            Answer answer) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
        this.deadlineUs = deadlineUs;
        this.answer = answer;
    }

    /** What became of it, for the log: its steps with their times in milliseconds after it was taken. */
    String story(long now) {
        StringBuilder text = new StringBuilder(request.id())
                .append(" was over ")
                .append((now - deadlineUs) / 1000)
                .append(" ms after its time, ")
                .append((now - takenUs) / 1000)
                .append(" after it was taken:");
        for (UpstreamCall c : attempts) {
            text.append(' ').append(c.endpoint()).append(" at ").append((c.sentMicros() - takenUs) / 1000);
            if (c.ended()) {
                text.append(' ').append(c.outcome()).append(" at ").append((c.endedMicros() - takenUs) / 1000);
            }
        }
        return attempts.isEmpty() ? text.append(" no attempt").toString() : text.toString();
    }

    boolean settled() {
        return over && noneOut();
    }

    boolean noneOut() {
        return attempts.stream().allMatch(UpstreamCall::ended);
    }
}
