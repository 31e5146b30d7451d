package loadbalancer.soak;

import java.util.concurrent.TimeUnit;
import loadbalancer.soak.History.MeasurementLag;

/** Records when the event loop of a run is late. Confined to that loop. */
final class LagMeter {
    private static final long INTERVAL_MICROS = 10_000;
    /** A shorter lag is within the slack of the rules. */
    private static final long MIN_LAG_MICROS = 30_000;

    private final SoakContext context;
    private long expectedMicros;

    private LagMeter(SoakContext context) {
        this.context = context;
    }

    static void start(SoakContext context) {
        new LagMeter(context).schedule();
    }

    private void schedule() {
        expectedMicros = context.clock().nowMicros() + INTERVAL_MICROS;
        context.loop().schedule(this::measure, INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    private void measure() {
        long nowMicros = context.clock().nowMicros();
        if (nowMicros - expectedMicros >= MIN_LAG_MICROS) {
            context.history().measurementLags.add(new MeasurementLag(expectedMicros, nowMicros));
        }
        schedule();
    }
}
