package loadbalancer.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/**
 * Estimates the work of each request, in microseconds of a standard core, by its cost hint or else by the response
 * times of its class; and the mean work of all requests.
 */
final class WorkEstimator {
    /** First estimate of the work of a class: its latency objective divided by this. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;
    /** Weight of one request in the mean. */
    private static final double MEAN_GAIN = 0.01;
    /** A request counts as at most this many times the mean work: the work of requests has a long tail. */
    static final double MAX_MEAN_RATIO = 3;

    private final Map<String, Double> classWorkMicros = new HashMap<>();
    private double meanWorkMicros;

    WorkEstimator(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            meanWorkMicros += requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_DIVISOR / requestClasses.size();
        }
    }

    /** Adds the first estimates of classes that were not known before. */
    void addClasses(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            classWorkMicros.putIfAbsent(
                    requestClass.name(), requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_DIVISOR);
        }
    }

    double workMicros(Request request) {
        return request.costHintMicros() > 0
                ? request.costHintMicros()
                : classWorkMicros.get(request.requestClassName());
    }

    /** Updates the mean with the work of an arriving request. */
    void countArrival(double workMicros) {
        meanWorkMicros += MEAN_GAIN * (Math.min(workMicros, MAX_MEAN_RATIO * meanWorkMicros) - meanWorkMicros);
    }

    /** Raises a class's work by a relative step, or lowers it by a negative one. */
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
