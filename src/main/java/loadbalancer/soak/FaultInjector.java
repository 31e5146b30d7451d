package loadbalancer.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import loadbalancer.soak.History.DiscoveryTrouble;
import loadbalancer.soak.History.DiscoveryTroubleType;
import loadbalancer.soak.History.ListedState;

/**
 * Carries out the faults of a run. Those of stand-ins run on the event loop; {@link ProcessFaults} carries out those of
 * sidecar processes on a thread of its own.
 */
final class FaultInjector {
    /** How long after an event at an endpoint discovery lists it. */
    private static final long LISTING_DELAY_MICROS = 700_000;

    private static final int MAX_DELAY_MICROS = 60_000;
    private static final double BROKEN_RESPONSE_PROBABILITY = 0.2;
    private static final double SLOWNESS = 4;
    /** Steps of the wall clock, in milliseconds. */
    private static final long[] CLOCK_STEPS_MILLIS = {3_600_000, -3_600_000, 5_000, -5_000};

    private static final long MIN_ANSWER_DELAY_MICROS = 300_000;
    private static final long MAX_ANSWER_DELAY_MICROS = 4_500_000;
    private static final int FAILURES_PER_THOUSAND = 50;

    private final SoakContext context;
    private final SoakWorld world;
    private final ProcessFaults processFaults;
    private final ScheduledExecutorService executor;
    /** Endpoints that a fault concerns now, so that no other fault lists them as ready too early. */
    private final Set<Integer> busyEndpoints = new HashSet<>();

    FaultInjector(SoakContext context, SoakWorld world, ScheduledExecutorService executor) {
        this.context = context;
        this.world = world;
        this.executor = executor;
        processFaults = new ProcessFaults(context, world);
    }

    /** Schedules all faults. Called once all sidecars are ready. */
    void schedule(List<Fault> faults) {
        for (Fault fault : faults) {
            executor.schedule(() -> inject(fault), fault.atMicros(), TimeUnit.MICROSECONDS);
        }
    }

    private void inject(Fault fault) {
        try {
            switch (fault.type()) {
                case RELOAD -> processFaults.reload(fault.sidecar());
                case RELOAD_TWICE -> {
                    processFaults.reload(fault.sidecar());
                    Thread.sleep(fault.variant() % 300);
                    processFaults.reload(fault.sidecar());
                }
                case RESTART -> processFaults.restart(fault.sidecar());
                case RESTART_IN_RELOAD -> {
                    processFaults.reload(fault.sidecar());
                    Thread.sleep(fault.variant() % 100);
                    processFaults.restart(fault.sidecar());
                }
                case KILL -> processFaults.killAndStart(fault.sidecar());
                case RESTART_BESIDE_SLOW_DISCOVERY -> processFaults.restartWithOldList(fault.sidecar(), () -> {
                    list(List.of(fault.endpoint()), ListedState.DRAINING, fault.durationMicros());
                    slowDiscovery(fault);
                });
                case STOP_SHORT -> processFaults.stop(fault.sidecar(), 100 + fault.variant() % 40);
                case STOP_LONG -> processFaults.stop(fault.sidecar(), 300 + fault.variant() % 500);
                case CLIENT_FLOOD -> FloodingClient.run(world.clientAddress(fault.sidecar()), fault.durationMicros());
                case CLOCK_STEP_ONE -> processFaults.stepClock(fault.sidecar(), clockStep(fault));
                case SYSTEM_CALLS_FAIL -> processFaults.failSystemCalls(fault.sidecar(), FAILURES_PER_THOUSAND);
                default -> context.loop().execute(() -> injectOnLoop(fault));
            }
            if (fault.type() == Fault.Type.SYSTEM_CALLS_FAIL) {
                executor.schedule(
                        () -> processFaults.failSystemCalls(fault.sidecar(), 0),
                        fault.durationMicros(),
                        TimeUnit.MICROSECONDS);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long clockStep(Fault fault) {
        return CLOCK_STEPS_MILLIS[fault.variant() % CLOCK_STEPS_MILLIS.length];
    }

    private void injectOnLoop(Fault fault) {
        Link link = world.endpoint(fault.endpoint()).link(fault.sidecar());
        DiscoveryAgent agent = world.agent(fault.sidecar());
        EndpointStandIn endpoint = world.endpoint(fault.endpoint());
        switch (fault.type()) {
            case LINK_SILENT -> during(fault, () -> link.setSilent(true), () -> link.setSilent(false));
            case LINK_DELAYED -> during(
                    fault,
                    () -> link.setDelayMicros(fault.variant() * MAX_DELAY_MICROS / 1_000),
                    () -> link.setDelayMicros(0));
            case LINK_RESET -> link.resetConnections();
            case LINK_REFUSED -> during(fault, () -> link.setRefusing(true), () -> link.setRefusing(false));
            case DISCOVERY_DOWN -> during(fault, () -> setDiscoveryDown(true), () -> setDiscoveryDown(false));
            case WATCH_SILENT -> troubleWatch(fault, each -> each.setSilent(true), each -> each.setSilent(false));
            case WATCH_DELAYED -> troubleWatch(
                    fault, each -> each.setDelayMicros(MAX_DELAY_MICROS), each -> each.setDelayMicros(0));
            case DISCOVERY_SLOW -> slowDiscovery(fault);
            case WATCH_ENDED -> agent.endWatches(fault.variant() % 2 == 0);
            case ENDPOINT_HANGS -> during(fault, () -> endpoint.setHanging(true), () -> endpoint.setHanging(false));
            case ENDPOINT_SLOW -> during(fault, () -> endpoint.setSlowness(SLOWNESS), () -> endpoint.setSlowness(1));
            case ENDPOINT_CRASHES -> crash(fault);
            case ENDPOINT_VANISHES -> vanish(fault);
            case ENDPOINT_DRAINS -> list(List.of(fault.endpoint()), ListedState.DRAINING, fault.durationMicros());
            case ENDPOINT_REMOVED -> list(List.of(fault.endpoint()), ListedState.GONE, fault.durationMicros());
            case ALL_DRAIN -> list(world.allEndpoints(), ListedState.DRAINING, fault.durationMicros());
            case ALL_REMOVED -> list(world.allEndpoints(), ListedState.GONE, fault.durationMicros());
            case RESPONSES_BROKEN -> during(
                    fault,
                    () -> world.endpoints().forEach(each -> each.setFaultProbability(BROKEN_RESPONSE_PROBABILITY)),
                    () -> world.endpoints().forEach(each -> each.setFaultProbability(0)));
            case STALLED_CROWD -> world.client(fault.sidecar()).stallCrowd();
            case HALF_WRITTEN_CROWD -> world.client(fault.sidecar()).halfWrittenCrowd();
            case COSTLY_CROWD -> world.client(fault.sidecar()).costlyCrowd();
            case CLIENT_CROWD -> world.client(fault.sidecar()).crowd(fault.durationMicros());
            case CLOCK_STEP_ALL -> stepAllClocks(clockStep(fault));
            default -> throw new IllegalStateException("not a fault of the stand-ins: " + fault.type());
        }
    }

    private void later(long delayMicros, Runnable task) {
        context.loop().schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }

    private void during(Fault fault, Runnable begin, Runnable end) {
        begin.run();
        later(fault.durationMicros(), end);
    }

    private void setDiscoveryDown(boolean down) {
        for (DiscoveryAgent agent : world.agents()) {
            agent.setDown(down);
        }
    }

    /** Disturbs the path from a sidecar to its agent for the duration of the fault. */
    private void troubleWatch(Fault fault, Consumer<Link> begin, Consumer<Link> end) {
        List<Link> links = world.agent(fault.sidecar()).links();
        recordTrouble(fault, DiscoveryTroubleType.UNREACHABLE);
        during(fault, () -> links.forEach(begin), () -> links.forEach(end));
    }

    /** Makes the agent of a sidecar answer late for the duration of the fault. */
    private void slowDiscovery(Fault fault) {
        DiscoveryAgent agent = world.agent(fault.sidecar());
        long delayMicros =
                MIN_ANSWER_DELAY_MICROS + fault.variant() * (MAX_ANSWER_DELAY_MICROS - MIN_ANSWER_DELAY_MICROS) / 1_000;
        recordTrouble(fault, DiscoveryTroubleType.SLOW);
        during(fault, () -> agent.setAnswerDelayMicros(delayMicros), () -> agent.setAnswerDelayMicros(0));
    }

    private void recordTrouble(Fault fault, DiscoveryTroubleType type) {
        long nowMicros = context.clock().nowMicros();
        context.history()
                .discoveryTroubles
                .add(new DiscoveryTrouble(fault.sidecar(), type, nowMicros, nowMicros + fault.durationMicros()));
    }

    private void stepAllClocks(long stepMillis) {
        if (processFaults.stepAllClocks(stepMillis)) {
            context.clock().stepWallClock(stepMillis);
        }
    }

    /** Lists the endpoints that no other fault concerns in this state for some time, then as ready again. */
    private void list(List<Integer> endpoints, ListedState state, long durationMicros) {
        List<Integer> free = new ArrayList<>(endpoints);
        free.removeAll(busyEndpoints);
        busyEndpoints.addAll(free);
        publish(free, entry -> world.entryWithState(entry, state));
        later(durationMicros, () -> {
            publish(free, entry -> world.entryWithState(entry, ListedState.READY));
            free.forEach(busyEndpoints::remove);
        });
    }

    private void publish(List<Integer> endpoints, UnaryOperator<EndpointRegistry.Entry> change) {
        if (!endpoints.isEmpty()) {
            world.publish(endpoints, change);
        }
    }

    private void crash(Fault fault) {
        if (busyEndpoints.add(fault.endpoint())) {
            world.endpoint(fault.endpoint()).crash();
            returnInSlowStart(fault);
        }
    }

    private void vanish(Fault fault) {
        if (busyEndpoints.add(fault.endpoint())) {
            EndpointStandIn endpoint = world.endpoint(fault.endpoint());
            endpoint.links().forEach(link -> link.setSilent(true));
            later(fault.durationMicros(), endpoint::crash);
            returnInSlowStart(fault);
        }
    }

    /** Removes the endpoint from the list after a while, and restarts and lists it after the duration of the fault. */
    private void returnInSlowStart(Fault fault) {
        int endpoint = fault.endpoint();
        long restartMicros = Math.max(fault.durationMicros(), LISTING_DELAY_MICROS) + LISTING_DELAY_MICROS;
        later(
                LISTING_DELAY_MICROS,
                () -> publish(List.of(endpoint), entry -> world.entryWithState(entry, ListedState.GONE)));
        later(restartMicros, () -> world.endpoint(endpoint).restart());
        later(restartMicros + LISTING_DELAY_MICROS, () -> {
            publish(List.of(endpoint), world::entryOfNewProcess);
            busyEndpoints.remove(endpoint);
        });
    }
}
