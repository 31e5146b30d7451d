package loadbalancer.soak;

import java.io.IOException;
import loadbalancer.soak.History.ProcessEventType;

/**
 * Faults of sidecar processes: signals, restarts, clocks and system calls. The methods block and are called on the
 * thread of the run that carries out faults, except {@link #stepAllClocks}.
 */
final class ProcessFaults {
    /** SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as this at most, plus a constant. */
    private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

    private static final long KILL_DELAY_MICROS = 700_000;
    /** Longer than any agent takes to learn a change. */
    private static final long AGENT_LEARNS_MILLIS = 500;

    private final SoakContext context;
    private final SoakWorld world;

    ProcessFaults(SoakContext context, SoakWorld world) {
        this.context = context;
        this.world = world;
    }

    /** Moves discovery to its other address, replaces the configuration and sends SIGHUP. */
    void reload(int sidecar) throws IOException, InterruptedException {
        SidecarUnderTest process = world.sidecar(sidecar);
        if (!isServing(sidecar)) {
            return;
        }
        world.moveDiscovery(sidecar);
        process.writeConfiguration(world.configuration(sidecar));
        process.signal("HUP", ProcessEventType.HANG_UP_SENT);
    }

    /** Sends SIGTERM, kills the process at the earliest time and starts the next one. */
    void restart(int sidecar) throws IOException, InterruptedException {
        SidecarUnderTest process = world.sidecar(sidecar);
        if (!isServing(sidecar)) {
            return;
        }
        world.expectRestart(sidecar);
        process.signal("TERM", ProcessEventType.TERMINATE_SENT);
        long deadlineMicros =
                Math.min(MAX_COUNTED_DEADLINE_MICROS, context.settings().longestDeadlineMicros());
        Thread.sleep((deadlineMicros + KILL_DELAY_MICROS) / 1_000);
        if (process.isAlive()) {
            process.kill();
        }
        world.start(sidecar);
    }

    void killAndStart(int sidecar) throws IOException, InterruptedException {
        SidecarUnderTest process = world.sidecar(sidecar);
        if (isServing(sidecar)) {
            world.expectRestart(sidecar);
            process.kill();
            world.start(sidecar);
        }
    }

    /**
     * Kills the process and starts the next one with the configuration of before, although its agent has a newer list.
     *
     * @param change begins to change the list and makes the agent slow; runs on the event loop while no process runs
     */
    void restartWithOldList(int sidecar, Runnable change) throws IOException, InterruptedException {
        SidecarUnderTest process = world.sidecar(sidecar);
        if (!isServing(sidecar)) {
            return;
        }
        String configuration = world.configuration(sidecar);
        world.expectRestart(sidecar);
        process.kill();
        context.loop().submit(change).sync();
        Thread.sleep(AGENT_LEARNS_MILLIS);
        world.start(sidecar, configuration);
    }

    private boolean isServing(int sidecar) {
        return world.sidecar(sidecar).isAlive() && world.isReady(sidecar);
    }

    /** Stops the process by signals for some time. */
    void stop(int sidecar, long millis) throws IOException, InterruptedException {
        SidecarUnderTest process = world.sidecar(sidecar);
        if (process.isAlive()) {
            process.signal("STOP", ProcessEventType.STOP_SENT);
            Thread.sleep(millis);
            process.signal("CONT", ProcessEventType.CONTINUE_SENT);
        }
    }

    void stepClock(int sidecar, long stepMillis) {
        FaultShim.Control control = world.sidecar(sidecar).control();
        if (control != null) {
            control.setClockStepMillis(world.wallClockStepMillis() + stepMillis);
        }
    }

    /** Steps the wall clocks of all sidecars. Returns false without a shim. */
    boolean stepAllClocks(long stepMillis) {
        world.addWallClockStep(stepMillis);
        boolean stepped = false;
        for (int sidecar = 0; sidecar < context.settings().sidecarCount(); sidecar++) {
            FaultShim.Control control = world.sidecar(sidecar).control();
            if (control != null) {
                control.setClockStepMillis(world.wallClockStepMillis());
                stepped = true;
            }
        }
        return stepped;
    }

    void failSystemCalls(int sidecar, int failuresPerThousand) {
        FaultShim.Control control = world.sidecar(sidecar).control();
        if (control != null) {
            control.setFailuresPerThousand(failuresPerThousand);
        }
    }
}
