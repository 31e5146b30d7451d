package loadbalancer.decision;

/**
 * The expected load and response time of an attempt, estimated when it is sent.
 *
 * @param load requests that the endpoint held before this attempt
 * @param responseMicros expected time until the response, at the endpoint's speed factor
 * @param unitSpeedResponseMicros expected time until the response, at a speed factor of 1
 */
record AttemptForecast(double load, double responseMicros, double unitSpeedResponseMicros) {}
