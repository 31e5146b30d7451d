package loadbalancer.simulator;

import java.util.Base64;
import java.util.List;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.LoadReport;
import loadbalancer.decision.Request;
import loadbalancer.input.LoadReportBuilder;

/**
 * Decodes the events of running instances, with one method for each message. Fields are read from left to right, so the
 * order of the statements in these methods matters.
 */
final class EventDecoder {
    private static final int NO_PAGE = -1;

    private final EndpointPages pages;

    EventDecoder(EndpointPages pages) {
        this.pages = pages;
    }

    /**
     * Decodes one event.
     *
     * @param messageName the name of the message, already read from the line
     * @param fields the remaining fields of the line
     * @param loadReportFieldNames names of the values in load reports to this instance, in the order of the values
     * @throws SimulatorProtocolException if the message is unknown or malformed
     */
    InstanceEvent decode(String messageName, FieldReader fields, List<String> loadReportFieldNames) {
        return switch (messageName) {
            case WireNames.ENDPOINT_LIST -> endpointList(fields);
            case WireNames.REQUEST -> request(fields);
            case WireNames.ATTEMPT_OUTCOME -> attemptOutcome(fields, loadReportFieldNames);
            case WireNames.STREAM_STARTED -> streamStarted(fields);
            case WireNames.HEALTH_CHECK_OUTCOME -> healthCheckOutcome(fields, loadReportFieldNames);
            case WireNames.REQUEST_EXPIRED -> requestExpired(fields);
            case WireNames.GOSSIP_RECEIVED -> gossipReceived(fields);
            case WireNames.TIMER_FIRED -> timerFired(fields);
            default -> throw new SimulatorProtocolException("unknown message '" + messageName + "'");
        };
    }

    private InstanceEvent endpointList(FieldReader fields) {
        EndpointListType type = WireNames.endpointListType(fields.integer());
        // The generation of the list is not needed: the simulator sends changes in order and without gaps.
        fields.integerOr(0);
        int page = (int) fields.integerOr(NO_PAGE);
        List<Endpoint> endpoints = type == EndpointListType.FAILED ? List.of() : pages.get(page);
        return (nowMicros, loadBalancer) -> loadBalancer.onEndpointList(nowMicros, type, endpoints);
    }

    private static InstanceEvent request(FieldReader fields) {
        String id = fields.text();
        long routingKey = fields.integerOr(Request.NO_ROUTING_KEY);
        boolean retry = fields.flag();
        boolean write = fields.flag();
        double costHintMicros = fields.decimalOr(0);
        long remainingMicros = fields.integer();
        String tenant = fields.textOrNull();
        String requestClass = fields.text();
        Request request =
                new Request(id, routingKey, retry, write, costHintMicros, remainingMicros, tenant, requestClass);
        return (nowMicros, loadBalancer) -> loadBalancer.onRequest(nowMicros, request);
    }

    private static InstanceEvent attemptOutcome(FieldReader fields, List<String> loadReportFieldNames) {
        String requestId = fields.text();
        int attemptNumber = (int) fields.integer();
        String endpointId = fields.text();
        AttemptOutcome outcome = WireNames.attemptOutcome(fields.text());
        long latencyMicros = fields.integerOr(0);
        boolean requestFinished = fields.flag();
        LoadReport loadReport = loadReport(fields.textOrNull(), loadReportFieldNames);
        AttemptResult result = new AttemptResult(
                requestId, attemptNumber, endpointId, outcome, latencyMicros, requestFinished, loadReport);
        return (nowMicros, loadBalancer) -> loadBalancer.onAttemptOutcome(nowMicros, result);
    }

    private static InstanceEvent streamStarted(FieldReader fields) {
        String requestId = fields.text();
        int attemptNumber = (int) fields.integer();
        long latencyMicros = fields.integerOr(0);
        String endpointId = fields.text();
        return (nowMicros, loadBalancer) ->
                loadBalancer.onStreamStart(nowMicros, requestId, attemptNumber, endpointId, latencyMicros);
    }

    private static InstanceEvent healthCheckOutcome(FieldReader fields, List<String> loadReportFieldNames) {
        String endpointId = fields.text();
        AttemptOutcome outcome = WireNames.attemptOutcome(fields.text());
        long latencyMicros = fields.integerOr(0);
        LoadReport loadReport = loadReport(fields.textOrNull(), loadReportFieldNames);
        return (nowMicros, loadBalancer) ->
                loadBalancer.onHealthCheck(nowMicros, endpointId, outcome, latencyMicros, loadReport);
    }

    private static InstanceEvent requestExpired(FieldReader fields) {
        String requestId = fields.text();
        return (nowMicros, loadBalancer) -> loadBalancer.onRequestExpired(nowMicros, requestId);
    }

    private static InstanceEvent gossipReceived(FieldReader fields) {
        int sidecarIndex = (int) fields.integer();
        byte[] message = bytes(fields.textOrNull());
        return (nowMicros, loadBalancer) -> loadBalancer.onGossip(nowMicros, sidecarIndex, message);
    }

    private static InstanceEvent timerFired(FieldReader fields) {
        String timerName = fields.text();
        return (nowMicros, loadBalancer) -> loadBalancer.onTimer(nowMicros, timerName);
    }

    private static byte[] bytes(String base64) {
        try {
            return base64 == null ? new byte[0] : Base64.getDecoder().decode(base64);
        } catch (IllegalArgumentException e) {
            throw new SimulatorProtocolException("expected a base64 message but found '" + base64 + "'");
        }
    }

    /**
     * Decodes comma-separated values; returns null if {@code commaSeparatedValues} is null, which means that there is
     * no load report.
     */
    private static LoadReport loadReport(String commaSeparatedValues, List<String> fieldNames) {
        if (commaSeparatedValues == null) {
            return null;
        }
        LoadReportBuilder builder = new LoadReportBuilder();
        String[] values = commaSeparatedValues.split(",");
        for (int i = 0; i < values.length && i < fieldNames.size(); i++) {
            try {
                builder.set(
                        fieldNames.get(i),
                        values[i].equals(WireNames.ABSENT) ? LoadReport.NOT_REPORTED : Double.parseDouble(values[i]));
            } catch (NumberFormatException e) {
                throw new SimulatorProtocolException(
                        "expected a load report of comma-separated numbers but found '" + commaSeparatedValues + "'");
            }
        }
        return builder.build();
    }
}
