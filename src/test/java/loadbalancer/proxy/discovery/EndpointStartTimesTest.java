package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The age of an endpoint is a span of real time, whatever happens to the wall clock. */
class EndpointStartTimesTest {
    private static final long SECOND = 1_000_000;
    private static final long UNIX_EPOCH_OFFSET = 1_700_000_000 * SECOND;

    private long monotonicMicros = 50 * SECOND;
    private long wallClockOffsetMicros = UNIX_EPOCH_OFFSET;

    private final EndpointStartTimes startTimes =
            new EndpointStartTimes(() -> monotonicMicros, () -> monotonicMicros + wallClockOffsetMicros);

    private static EndpointList.Entry entry(String id, long startedMicros, EndpointState state) {
        return new EndpointList.Entry(
                new Endpoint(id, "", "", Endpoint.NO_CELL, startedMicros, 1, state), new InetSocketAddress(9));
    }

    private static EndpointList.Entry ready(String id, long startedMicros) {
        return entry(id, startedMicros, EndpointState.READY);
    }

    private List<Long> agesMicros(boolean fullSnapshot, EndpointList.Entry... entries) {
        List<Long> ages = new ArrayList<>();
        for (Endpoint endpoint : startTimes
                .toMonotonic(new EndpointList(1, fullSnapshot, List.of(entries)))
                .endpoints()) {
            ages.add(monotonicMicros - endpoint.startedMicros());
        }
        return ages;
    }

    private long ageMicros(EndpointList.Entry entry) {
        return agesMicros(false, entry).get(0);
    }

    private long unixMicros() {
        return monotonicMicros + wallClockOffsetMicros;
    }

    private void advanceSeconds(long seconds) {
        monotonicMicros += seconds * SECOND;
    }

    private void stepWallClockSeconds(long seconds) {
        wallClockOffsetMicros += seconds * SECOND;
    }

    @Test
    void convertsStartTimeByWallClock() {
        assertEquals(7 * SECOND, ageMicros(ready("a", unixMicros() - 7 * SECOND)));
        assertEquals(monotonicMicros, ageMicros(ready("long-ago", 0)));
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600, -5, 5, 3_600})
    void keepsAgeOfKnownProcessAfterStep(long stepSeconds) {
        long started = unixMicros() - 2 * SECOND;
        assertEquals(2 * SECOND, ageMicros(ready("a", started)));
        stepWallClockSeconds(stepSeconds);
        advanceSeconds(3);
        assertEquals(5 * SECOND, ageMicros(ready("a", started)));
        assertEquals(List.of(5 * SECOND), agesMicros(true, ready("a", started)));
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600, -5, 5, 3_600})
    void keepsAgeOfProcessThatReturnsToListAfterStep(long stepSeconds) {
        long started = unixMicros() - 2 * SECOND;
        ageMicros(ready("a", started));
        agesMicros(true);
        stepWallClockSeconds(stepSeconds);
        advanceSeconds(3);
        assertEquals(5 * SECOND, ageMicros(ready("a", started)));
        ageMicros(entry("a", started, EndpointState.REMOVED));
        assertEquals(5 * SECOND, ageMicros(ready("a", started)));
    }

    /** All machines are stepped, then the endpoint restarts with a start time by the new clock. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600, -5, 5, 3_600})
    void takesRestartAfterStepOfAllMachinesAsRecent(long stepSeconds) {
        ageMicros(ready("a", unixMicros() - 60 * SECOND));
        stepWallClockSeconds(stepSeconds);
        advanceSeconds(10);
        long started = unixMicros() - SECOND;
        assertEquals(SECOND, ageMicros(ready("a", started)));
        advanceSeconds(4);
        assertEquals(5 * SECOND, ageMicros(ready("a", started)));
    }

    /** Only this machine is stepped; the start time is by the clock that it had before. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600, 5, 3_600})
    void takesRestartAfterStepOfThisMachineAsRecent(long stepSeconds) {
        ageMicros(ready("a", unixMicros() - 60 * SECOND));
        stepWallClockSeconds(stepSeconds);
        advanceSeconds(10);
        long startedByOtherClocks = unixMicros() - stepSeconds * SECOND - SECOND;
        assertEquals(SECOND, ageMicros(ready("a", startedByOtherClocks)));
    }

    @Test
    void takesStartInFutureAsJustStarted() {
        long started = unixMicros() + 3_600 * SECOND;
        assertEquals(0, ageMicros(ready("a", started)));
        advanceSeconds(9);
        assertEquals(9 * SECOND, ageMicros(ready("a", started)));
    }

    @Test
    void takesRestartOlderThanReplacedProcessAsJustStarted() {
        ageMicros(ready("a", unixMicros() - 60 * SECOND));
        assertEquals(0, ageMicros(ready("a", unixMicros() - 3_600 * SECOND)));
    }

    @Test
    void remembersLimitedNumberOfRemovedEndpoints() {
        EndpointList.Entry[] entries = new EndpointList.Entry[5_000];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = ready("e" + i, unixMicros() + 60 * SECOND);
        }
        agesMicros(true, entries);
        agesMicros(true);
        advanceSeconds(1);
        List<Long> ages = agesMicros(true, entries);
        assertEquals(4_096, ages.stream().filter(age -> age == SECOND).count());
    }
}
