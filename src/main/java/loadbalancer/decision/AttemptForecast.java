package loadbalancer.decision;

/**
 * What was expected of an attempt when it was sent.
 *
 * @param load requests that the endpoint held before it
 * @param timeMicros time until the answer
 * @param unitSpeedMicros the same for an endpoint of speed factor 1
 */
record AttemptForecast(double load, double timeMicros, double unitSpeedMicros) {}
