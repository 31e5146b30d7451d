package loadbalancer.decision;

/** Arithmetic on rates and times. */
final class RateMath {
    static final double MICROS_PER_SECOND = 1e6;
    /**
     * The time of an event that has not happened yet. It is earlier than all event times, and its difference to them
     * does not overflow.
     */
    static final long NEVER_MICROS = Long.MIN_VALUE / 2;
    /** Far below every rate and sum that occurs as a denominator. */
    private static final double MIN_DENOMINATOR = 1e-9;

    private RateMath() {}

    /** Divides by a denominator that is not negative. Replaces a denominator below 1e-9, including 0, by 1e-9. */
    static double safeDivide(double numerator, double denominator) {
        return numerator / Math.max(MIN_DENOMINATOR, denominator);
    }
}
