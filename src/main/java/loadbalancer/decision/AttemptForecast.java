package loadbalancer.decision;

/**
 * The estimates for an attempt at the time of its send.
 *
 * @param load requests that the endpoint held before it
 * @param responseMicros expected time until the response, at the endpoint's speed factor
 * @param unitSpeedResponseMicros expected time until the response, at a speed factor of 1
 */
record AttemptForecast(double load, double responseMicros, double unitSpeedResponseMicros) {}
