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
 * Measures one decision module as it would run in a fleet of a given size: the processor time for each type of event,
 * and the heap. The module is a real one that is warmed up and has received gossip of other modules. Times are
 * processor times of the calling thread in microseconds and include the cost of reading the clock
 * ({@link #clockMicros}).
 */
final class PolicyCosts {
    /** Number of batches of runs; the result is the median of the batch means. */
    private static final int BATCH_COUNT = 15;
    /** Number of requests that the warm-up sends before it reports the first outcome. */
    private static final int INITIAL_REQUEST_COUNT = 20;
    /** Number of modules created to measure the heap; the mean over the second half reduces the error of a reading. */
    private static final int HEAP_MODULE_COUNT = 20;
    /** Request rate of the measured module: 180,000 requests per second over 2,400 sidecars. */
    private static final int REQUESTS_PER_SECOND = 75;

    private static final int WARM_UP_REQUESTS = 3_000;
    private static final int REQUESTS_PER_GOSSIP = 50;
    /** Time after which the module recomputes its routing weights. */
    private static final long RECOMPUTE_INTERVAL_MICROS = 100_000;

    private static final double UTILIZATION = 0.6;
    /** Name of the module's timer for sending gossip. */
    private static final String GOSSIP_TIMER = "gossip";

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final SplittableRandom random = new SplittableRandom(7);
    private final FleetParameters parameters;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<byte[]> gossipMessages = new ArrayList<>();
    private final List<SentAttempt> inFlight = new ArrayList<>();
    private final LoadBalancingPolicy policy;
    private final long heapBytes;
    private long nowMicros = 1_000_000_000L;
    private long requests;

    private record SentAttempt(String requestId, String endpointId) {}

    /** Records the attempts of a decision module, so that their outcomes can be reported. */
    private class AttemptRecorder extends NoOpActions {
        @Override
        public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
            inFlight.add(new SentAttempt(requestId, endpointId));
        }
    }

    PolicyCosts(int sidecarCount, int endpointCount) {
        usedHeapBytes();
        parameters = new FleetParameters(sidecarCount, endpointCount, UTILIZATION, 1, 0, 0, 1);
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(new Endpoint(
                    "s" + i, FleetParameters.ZONE, FleetParameters.MACHINE_TYPE, i % 8, 0, 1, EndpointState.READY));
        }
        collectGossip();
        List<LoadBalancingPolicy> policies = new ArrayList<>();
        // The first half is not measured: it also loads the classes and data that all modules share, and garbage of
        // earlier work is collected in the meantime.
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
        LoadBalancingPolicy created =
                new LoadBalancingPolicy(parameters.settings(0), 1, nowMicros, new AttemptRecorder());
        created.onEndpointList(nowMicros, EndpointListType.FULL, endpoints);
        for (int senderIndex = 1; senderIndex < parameters.sidecarCount(); senderIndex++) {
            created.onGossip(nowMicros, senderIndex, gossipMessages.get(senderIndex % gossipMessages.size()));
        }
        return created;
    }

    /** Records gossip messages of another module of the same fleet. */
    private void collectGossip() {
        AttemptRecorder actions = new AttemptRecorder() {
            @Override
            public void sendGossip(int sidecarIndex, byte[] message) {
                gossipMessages.add(message);
            }
        };
        int sidecarIndex = Math.min(1, parameters.sidecarCount() - 1);
        LoadBalancingPolicy other = new LoadBalancingPolicy(parameters.settings(sidecarIndex), 2, nowMicros, actions);
        other.onEndpointList(nowMicros, EndpointListType.FULL, endpoints);
        for (int i = 1; i <= 200; i++) {
            other.onRequest(nowMicros + i * 13_000L, newRequest("o" + i, FleetParameters.SUBMIT_CLASS));
        }
        other.onTimer(nowMicros + 2_700_000, GOSSIP_TIMER);
    }

    private void warmUp() {
        for (int i = 0; i < INITIAL_REQUEST_COUNT; i++) {
            sendRequest();
        }
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            nowMicros += 1_000_000 / REQUESTS_PER_SECOND;
            sendRequest();
            reportOutcome();
            if (i % REQUESTS_PER_GOSSIP == 0) {
                policy.onTimer(nowMicros, GOSSIP_TIMER);
            }
        }
    }

    /**
     * Returns the minimum of several readings, since the garbage collector may not have freed all garbage before each.
     */
    private static long usedHeapBytes() {
        long minimumBytes = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            minimumBytes = Math.min(
                    minimumBytes,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return minimumBytes;
    }

    private static Request newRequest(String id, String requestClass) {
        return new Request(
                id, Request.NO_ROUTING_KEY, false, false, 0, FleetParameters.DEADLINE_MICROS, null, requestClass);
    }

    private void sendRequest() {
        String id = "r" + requests++;
        String requestClass = requests % 10 < 7 ? FleetParameters.SUBMIT_CLASS : FleetParameters.ISSUE_CLASS;
        policy.onRequest(nowMicros, newRequest(id, requestClass));
    }

    /** Reports the outcome of a random attempt in flight; does nothing if there is none. */
    private void reportOutcome() {
        if (inFlight.isEmpty()) {
            return;
        }
        SentAttempt attempt = inFlight.remove(random.nextInt(inFlight.size()));
        AttemptResult result = new AttemptResult(
                attempt.requestId,
                0,
                attempt.endpointId,
                AttemptOutcome.OK,
                (long) FleetParameters.MEAN_WORK_MICROS,
                true,
                null);
        policy.onAttemptOutcome(nowMicros, result);
    }

    /**
     * Runs {@code measured} in batches, each time after {@code preparation}, whose time is not measured. Returns the
     * median over the batches of the mean processor time of one run.
     */
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

    private void reportOutcomeAndAdvance(long micros) {
        reportOutcome();
        advance(micros);
    }

    /** Returns the time for reading the clock, which must be subtracted from the other times. */
    double clockMicros() {
        return medianMicros(200, () -> {}, () -> {});
    }

    /** Returns the time for a request that uses the existing routing weights. */
    double requestMicros() {
        return medianMicros(20, () -> reportOutcomeAndAdvance(1_000), this::sendRequest);
    }

    /**
     * Returns the time for a request that finds the routing weights outdated, so that they are recomputed. This happens
     * at most ten times per second.
     */
    double requestWithRecomputeMicros() {
        return medianMicros(20, () -> reportOutcomeAndAdvance(RECOMPUTE_INTERVAL_MICROS), this::sendRequest);
    }

    double outcomeMicros() {
        return medianMicros(20, this::sendRequest, this::reportOutcome);
    }

    /** Returns the time for receiving a gossip message; consecutive messages come from different sidecars. */
    double gossipMicros() {
        int[] senderIndex = new int[1];
        return medianMicros(
                200,
                () -> senderIndex[0] = 1 + senderIndex[0] % (parameters.sidecarCount() - 1),
                () -> policy.onGossip(nowMicros, senderIndex[0], gossipMessages.get(0)));
    }

    /** Returns the time for an endpoint list that contains one changed entry. */
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

    /** Returns the time for reading settings from text and applying them. */
    double settingsMicros() {
        return medianMicros(5, () -> advance(10_000), () -> policy.onSettings(nowMicros, parameters.settings(0)));
    }

    /** Returns the heap of one module that has its endpoints and the gossip of all other sidecars, and no requests. */
    long heapBytes() {
        return heapBytes;
    }
}
