package loadbalancer.simulation;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.EndpointState;
import loadbalancer.decision.LoadBalancingPolicy;
import loadbalancer.decision.Request;

/**
 * Measures one decision module as it would run in a fleet of a given size: processor time of each kind of event, and
 * heap. The module is the real one, warmed up, with gossip of other modules. Times are processor times of the calling
 * thread in microseconds, the clock's own cost included ({@link #clockMicros}).
 */
final class PolicyCosts {
    /** Batches of runs; the result is the median of their means. */
    private static final int BATCH_COUNT = 15;
    /** Attempts in flight while the module is measured. */
    private static final int IN_FLIGHT = 20;
    /** Modules created to measure the heap; the mean over the second half reduces the error of a reading. */
    private static final int HEAP_MODULE_COUNT = 20;
    /** Requests a second of the measured module: 180,000 over 2,400 sidecars. */
    private static final int REQUESTS_PER_SECOND = 75;

    private static final int WARM_UP_REQUESTS = 3_000;
    private static final int GOSSIP_EVERY_REQUESTS = 50;
    /** The module solves its routing weights again after this time. */
    private static final long RESOLVE_INTERVAL_MICROS = 100_000;

    private static final double UTILIZATION = 0.6;
    /** Name of the module's timer that sends gossip. */
    private static final String GOSSIP_TIMER = "gossip";

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final SplittableRandom random = new SplittableRandom(7);
    private final FleetShape shape;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<byte[]> gossipMessages = new ArrayList<>();
    private final List<SentAttempt> inFlight = new ArrayList<>();
    private final LoadBalancingPolicy policy;
    private final long heapBytes;
    private long nowMicros = 1_000_000_000L;
    private long requests;

    private record SentAttempt(String requestId, String endpointId) {}

    /** Remembers the attempts of the measured module, so that their outcomes can be reported. */
    private class AttemptRecorder extends NoOpActions {
        @Override
        public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
            inFlight.add(new SentAttempt(requestId, endpointId));
        }
    }

    PolicyCosts(int sidecarCount, int endpointCount) {
        usedHeapBytes();
        shape = new FleetShape(sidecarCount, endpointCount, UTILIZATION, 1, 0, 0, 1);
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(
                    new Endpoint("s" + i, FleetShape.ZONE, FleetShape.MACHINE_TYPE, i % 8, 0, 1, EndpointState.READY));
        }
        collectGossip();
        List<LoadBalancingPolicy> policies = new ArrayList<>();
        // The first half also loads what all modules share, and garbage from before is collected meanwhile.
        addPolicies(policies, HEAP_MODULE_COUNT / 2);
        long firstHalfBytes = usedHeapBytes();
        addPolicies(policies, HEAP_MODULE_COUNT / 2);
        heapBytes = (usedHeapBytes() - firstHalfBytes) / (HEAP_MODULE_COUNT / 2);
        policy = policies.get(0);
        warmUp();
    }

    private void addPolicies(List<LoadBalancingPolicy> policies, int count) {
        for (int i = 0; i < count; i++) {
            policies.add(newPolicy());
        }
    }

    private LoadBalancingPolicy newPolicy() {
        LoadBalancingPolicy created = new LoadBalancingPolicy(shape.settings(0), 1, nowMicros, new AttemptRecorder());
        created.onEndpointList(nowMicros, EndpointListType.FULL, endpoints);
        for (int sender = 1; sender < shape.sidecarCount(); sender++) {
            created.onGossip(nowMicros, sender, gossipMessages.get(sender % gossipMessages.size()));
        }
        return created;
    }

    /** Collects gossip of another module of the same fleet. */
    private void collectGossip() {
        AttemptRecorder actions = new AttemptRecorder() {
            @Override
            public void sendGossip(int sidecarIndex, byte[] message) {
                gossipMessages.add(message);
            }
        };
        int sidecarIndex = Math.min(1, shape.sidecarCount() - 1);
        LoadBalancingPolicy other = new LoadBalancingPolicy(shape.settings(sidecarIndex), 2, nowMicros, actions);
        other.onEndpointList(nowMicros, EndpointListType.FULL, endpoints);
        for (int i = 1; i <= 200; i++) {
            other.onRequest(nowMicros + i * 13_000L, newRequest("o" + i, FleetShape.SUBMIT_CLASS));
        }
        other.onTimer(nowMicros + 2_700_000, GOSSIP_TIMER);
    }

    private void warmUp() {
        for (int i = 0; i < IN_FLIGHT; i++) {
            request();
        }
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            nowMicros += 1_000_000 / REQUESTS_PER_SECOND;
            request();
            outcome();
            if (i % GOSSIP_EVERY_REQUESTS == 0) {
                policy.onTimer(nowMicros, GOSSIP_TIMER);
            }
        }
    }

    /** The least of several readings, since some are taken before the garbage collector has freed everything. */
    private static long usedHeapBytes() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            least = Math.min(
                    least,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return least;
    }

    private static Request newRequest(String id, String requestClass) {
        return new Request(id, Request.NO_ROUTING_KEY, false, false, 0, FleetShape.DEADLINE_MICROS, null, requestClass);
    }

    private void request() {
        String id = "r" + requests++;
        String requestClass = requests % 10 < 7 ? FleetShape.SUBMIT_CLASS : FleetShape.ISSUE_CLASS;
        policy.onRequest(nowMicros, newRequest(id, requestClass));
    }

    /** Reports the outcome of a random attempt in flight, so that their number stays the same. */
    private void outcome() {
        if (inFlight.isEmpty()) {
            return;
        }
        SentAttempt attempt = inFlight.remove(random.nextInt(inFlight.size()));
        AttemptResult result = new AttemptResult(
                attempt.requestId,
                0,
                attempt.endpointId,
                AttemptOutcome.OK,
                (long) FleetShape.MEAN_WORK_MICROS,
                true,
                null);
        policy.onAttemptOutcome(nowMicros, result);
    }

    /** The median over the batches of the mean processor time of one run of {@code measured}. */
    private double medianMicros(int runsPerBatch, Runnable preparation, Runnable measured) {
        double[] batchMicros = new double[BATCH_COUNT];
        for (int batch = 0; batch < BATCH_COUNT; batch++) {
            long nanos = 0;
            for (int i = 0; i < runsPerBatch; i++) {
                preparation.run();
                long startNanos = threads.getCurrentThreadCpuTime();
                measured.run();
                nanos += threads.getCurrentThreadCpuTime() - startNanos;
            }
            batchMicros[batch] = nanos / 1e3 / runsPerBatch;
        }
        Arrays.sort(batchMicros);
        return batchMicros[BATCH_COUNT / 2];
    }

    private void advance(long micros) {
        nowMicros += micros;
    }

    private void outcomeAndAdvance(long micros) {
        outcome();
        advance(micros);
    }

    /** The cost of reading the clock, which has to be subtracted from the other times. */
    double clockMicros() {
        return medianMicros(200, () -> {}, () -> {});
    }

    /** A request that finds the routing weights recent. */
    double requestMicros() {
        return medianMicros(20, () -> outcomeAndAdvance(1_000), this::request);
    }

    /**
     * A request that finds the routing weights old and has them solved again, which happens ten times a second at most.
     */
    double resolveMicros() {
        return medianMicros(20, () -> outcomeAndAdvance(RESOLVE_INTERVAL_MICROS), this::request);
    }

    double outcomeMicros() {
        return medianMicros(20, this::request, this::outcome);
    }

    /** One gossip message received, each from another sidecar than the one before. */
    double gossipMicros() {
        int[] sender = new int[1];
        return medianMicros(
                200,
                () -> sender[0] = 1 + sender[0] % (shape.sidecarCount() - 1),
                () -> policy.onGossip(nowMicros, sender[0], gossipMessages.get(0)));
    }

    /** An endpoint list with one changed entry. */
    double deltaMicros() {
        return medianMicros(20, () -> advance(10_000), () -> {
            Endpoint changed = endpoints.get(random.nextInt(endpoints.size()));
            policy.onEndpointList(nowMicros, EndpointListType.DELTA, List.of(changed));
        });
    }

    double fullListMicros() {
        return medianMicros(
                5, () -> advance(10_000), () -> policy.onEndpointList(nowMicros, EndpointListType.FULL, endpoints));
    }

    /** Settings read from text and put in force. */
    double settingsMicros() {
        return medianMicros(5, () -> advance(10_000), () -> policy.onSettings(nowMicros, shape.settings(0)));
    }

    /** Heap of one module that knows its endpoints and other sidecars and has no requests. */
    long heapBytes() {
        return heapBytes;
    }
}
