package loadbalancer.proxy.upstream;

import io.netty.handler.codec.http.FullHttpResponse;
import java.nio.charset.StandardCharsets;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;
import loadbalancer.proxy.protocol.LoadReportParser;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * Determines the outcome of a call from its response and ends the call with this outcome. The caller keeps the
 * ownership of the response's buffer. Stateless.
 */
final class ResponseClassifier {
    private static final String REJECTED_VALUE = "1";

    private ResponseClassifier() {}

    static void endCall(UpstreamCall call, FullHttpResponse response) {
        LoadReport loadReport = loadReport(call, response);
        AttemptOutcome outcome = outcome(response);
        if (call.isHealthCheck() && outcome == AttemptOutcome.OK && loadReport == null) {
            // Otherwise a health check would count as successful although its response has no well-formed load report.
            outcome = AttemptOutcome.MALFORMED_RESPONSE;
        }
        if (!call.isWritten() && (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR)) {
            // An endpoint can't process a request that is not completely sent, so the response belongs to another
            // request. Only a rejection or a client error may be sent so early.
            call.onMalformedResponse();
        } else {
            call.end(outcome, loadReport, outcome == AttemptOutcome.OK ? response.content() : null);
        }
    }

    private static LoadReport loadReport(UpstreamCall call, FullHttpResponse response) {
        return LoadReportParser.parse(
                call.isHealthCheck()
                        ? response.content().toString(StandardCharsets.UTF_8)
                        : response.headers().get(ProtocolConstants.LOAD_REPORT));
    }

    private static AttemptOutcome outcome(FullHttpResponse response) {
        int status = response.status().code();
        return switch (status) {
            case 200 -> AttemptOutcome.OK;
            case 503, 504 -> isRejection(response) ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR;
                // The client caused the error, so no other endpoint would accept the request either.
            default -> status >= 400 && status < 500 ? AttemptOutcome.INVALID_REQUEST : AttemptOutcome.ERROR;
        };
    }

    private static boolean isRejection(FullHttpResponse response) {
        return REJECTED_VALUE.equals(response.headers().get(ProtocolConstants.REJECTED));
    }
}
