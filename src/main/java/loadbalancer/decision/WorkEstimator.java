package loadbalancer.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/**
 * Estimates the work of requests, in microseconds of a standard core: by the request's cost hint, else by what the
 * answers of its class took; and the mean over all requests.
 */
final class WorkEstimator {
    /** First guess: a request takes this part of its class's latency objective. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    private static final double MEAN_GAIN = 0.01;
    /** One request counts as at most this many mean requests: costs have long tails. */
    static final double MAX_MEAN_RATIO = 3;

    private final Map<String, Double> classWorkMicros = new HashMap<>();
    private double meanWorkMicros;

    WorkEstimator(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            meanWorkMicros += requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_DIVISOR / requestClasses.size();
        }
    }

    /** Takes up classes that were not known before. */
    void addClasses(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            classWorkMicros.putIfAbsent(
                    requestClass.name(), requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_DIVISOR);
        }
    }

    double workMicros(Request request) {
        return request.costHintMicros() > 0 ? request.costHintMicros() : classWorkMicros.get(request.requestClass());
    }

    /** Takes an arriving request's work into the mean. */
    void countArrival(double workMicros) {
        meanWorkMicros += MEAN_GAIN * (Math.min(workMicros, MAX_MEAN_RATIO * meanWorkMicros) - meanWorkMicros);
    }

    /** Corrects a class's work by a relative step. */
    void adjustClass(String requestClass, double relativeStep) {
        Double workMicros = classWorkMicros.get(requestClass);
        if (workMicros != null) {
            classWorkMicros.put(requestClass, workMicros * (1 + relativeStep));
        }
    }

    double meanWorkMicros() {
        return meanWorkMicros;
    }
}
