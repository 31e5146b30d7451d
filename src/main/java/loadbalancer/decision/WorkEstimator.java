package loadbalancer.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/**
 * Estimates the work of each request, in microseconds of a standard core, from its cost hint or, without one, from the
 * response times of its request class. Also estimates the mean work of all requests.
 */
final class WorkEstimator {
    /** Divisor of a request class's latency objective that gives the initial estimate of its work. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;
    /** Weight of one request in the mean. */
    private static final double MEAN_GAIN = 0.01;
    /**
     * Upper bound, relative to the mean, of the work with which a request counts toward the mean. It limits the effect
     * of single requests, because the work has a long-tailed distribution.
     */
    static final double MAX_MEAN_RATIO = 3;

    private final Map<String, Double> classWorkMicros = new HashMap<>();
    private double meanWorkMicros;

    WorkEstimator(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            meanWorkMicros += requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_DIVISOR / requestClasses.size();
        }
    }

    /** Adds initial estimates for request classes that are not known yet. */
    void addClasses(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            classWorkMicros.putIfAbsent(
                    requestClass.name(), requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_DIVISOR);
        }
    }

    /**
     * Returns the expected work of the request, in microseconds of a standard core. Its request class must have been
     * added.
     */
    double workMicros(Request request) {
        return request.costHintMicros() > 0
                ? request.costHintMicros()
                : classWorkMicros.get(request.requestClassName());
    }

    /** Updates the mean with the work of an arriving request. */
    void countArrival(double workMicros) {
        meanWorkMicros += MEAN_GAIN * (Math.min(workMicros, MAX_MEAN_RATIO * meanWorkMicros) - meanWorkMicros);
    }

    /** Increases a request class's work by a relative step, or decreases it if the step is negative. */
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
