package loadbalancer.decision;

/** Arithmetic on rates and times. */
final class RateMath {
    static final double MICROS_PER_SECOND = 1e6;
    /** Time of what has not happened yet: before all events, and differences from event times do not overflow. */
    static final long NEVER_MICROS = Long.MIN_VALUE / 2;
    /** Far below every rate and sum in use. */
    private static final double MIN_DENOMINATOR = 1e-9;

    private RateMath() {}

    /** Divides by a number that is not negative; one below 1e-9, also 0, is replaced by 1e-9. */
    static double safeDivide(double numerator, double denominator) {
        return numerator / Math.max(MIN_DENOMINATOR, denominator);
    }
}
