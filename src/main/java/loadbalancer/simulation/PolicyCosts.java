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
 * What one module costs in a fleet of so many sidecars and servers: processor time of each kind of event, in a batch of
 * each, and heap. The module is the real one, warmed up; its words are those of other modules.
 */
final class PolicyCosts {
    private static final int BATCHES = 15;
    private static final int IN_FLIGHT = 20;
    /** Of which the heap is taken, so that what the collector moves meanwhile weighs little. */
    private static final int INSTANCES = 20;
    /** Requests a second that come to the module measured: 180,000 over 2,400. */
    private static final int RATE = 75;

    private static final long RESOLVE_US = 100_000;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final SplittableRandom random = new SplittableRandom(7);
    private final FleetShape shape;
    private final List<Endpoint> list = new ArrayList<>();
    private final List<byte[]> words = new ArrayList<>();
    private final List<String[]> sends = new ArrayList<>();
    private final LoadBalancingPolicy module;
    private final long heapBytes;
    private long nowUs = 1_000_000_000L;
    private long number;

    PolicyCosts(int sidecars, int servers) {
        heap();
        shape = new FleetShape(sidecars, servers, 0.6, 1, 0, 0, 1);
        for (int i = 0; i < servers; i++) {
            list.add(new Endpoint("s" + i, "za", "k", i % 8, 0, 1, EndpointState.READY));
        }
        words(sidecars);
        List<LoadBalancingPolicy> several = new ArrayList<>();
        // The first ones also load what all share, and what was measured before goes while they are made.
        long[] used = new long[2];
        for (int half = 0; half < 2; half++) {
            for (int i = 0; i < INSTANCES / 2; i++) {
                several.add(module(sidecars));
            }
            used[half] = heap();
        }
        heapBytes = (used[1] - used[0]) / (INSTANCES / 2);
        module = several.get(0);
        for (int i = 0; i < IN_FLIGHT; i++) {
            request();
        }
        for (int i = 0; i < 3_000; i++) {
            nowUs += 1_000_000 / RATE;
            request();
            outcome();
            if (i % 50 == 0) {
                module.onTimer(nowUs, "tell");
            }
        }
    }

    private LoadBalancingPolicy module(int sidecars) {
        LoadBalancingPolicy made = new LoadBalancingPolicy(shape.settings(0), 1, nowUs, new Keeping());
        made.onEndpointList(nowUs, EndpointListType.FULL, list);
        for (int peer = 1; peer < sidecars; peer++) {
            made.onGossip(nowUs, peer, words.get(peer % words.size()));
        }
        return made;
    }

    /** Words as other modules of the same fleet tell them. */
    private void words(int sidecars) {
        Keeping actions = new Keeping() {
            @Override
            public void sendGossip(int peer, byte[] message) {
                words.add(message);
            }
        };
        LoadBalancingPolicy other =
                new LoadBalancingPolicy(shape.settings(Math.min(1, sidecars - 1)), 2, nowUs, actions);
        other.onEndpointList(nowUs, EndpointListType.FULL, list);
        for (int i = 1; i <= 200; i++) {
            other.onRequest(
                    nowUs + i * 13_000L,
                    new Request("o" + i, -1, false, false, 0, FleetShape.DEADLINE_US, null, "submit"));
        }
        other.onTimer(nowUs + 2_700_000, "tell");
    }

    /** The least of several readings: what the ones before have left goes with a later collection at times. */
    private static long heap() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            least = Math.min(
                    least,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return least;
    }

    private void request() {
        module.onRequest(
                nowUs,
                new Request(
                        "r" + number++,
                        -1,
                        false,
                        false,
                        0,
                        FleetShape.DEADLINE_US,
                        null,
                        number % 10 < 7 ? "submit" : "issue"));
    }

    /** Of a request drawn from those that are out, so that as many stay out. */
    private void outcome() {
        if (!sends.isEmpty()) {
            String[] s = sends.remove(random.nextInt(sends.size()));
            module.onAttemptOutcome(
                    nowUs, new AttemptResult(s[0], 0, s[1], AttemptOutcome.OK, (long) FleetShape.WORK_US, true, null));
        }
    }

    /** The median over the batches of the processor time of one run in microseconds. */
    private double each(int runs, Runnable before, Runnable run) {
        double[] batches = new double[BATCHES];
        for (int b = 0; b < BATCHES; b++) {
            long ns = 0;
            for (int i = 0; i < runs; i++) {
                before.run();
                long from = threads.getCurrentThreadCpuTime();
                run.run();
                ns += threads.getCurrentThreadCpuTime() - from;
            }
            batches[b] = ns / 1e3 / runs;
        }
        Arrays.sort(batches);
        return batches[BATCHES / 2];
    }

    /** The clock's own cost, to be taken off the others. */
    double clockUs() {
        return each(200, () -> {}, () -> {});
    }

    /** A request between two re-solves. */
    double requestUs() {
        return each(
                20,
                () -> {
                    outcome();
                    nowUs += 1_000;
                },
                this::request);
    }

    double outcomeUs() {
        return each(20, this::request, this::outcome);
    }

    /** A request that finds the shares old: with the re-solve, of which there are ten a second at the most. */
    double resolveUs() {
        return each(
                20,
                () -> {
                    outcome();
                    nowUs += RESOLVE_US;
                },
                this::request);
    }

    double wordUs() {
        int[] peer = new int[1];
        return each(
                200,
                () -> peer[0] = 1 + peer[0] % (shape.sidecars() - 1),
                () -> module.onGossip(nowUs, peer[0], words.get(0)));
    }

    double deltaUs() {
        return each(
                20,
                () -> nowUs += 10_000,
                () -> module.onEndpointList(
                        nowUs, EndpointListType.DELTA, List.of(list.get(random.nextInt(list.size())))));
    }

    double wholeListUs() {
        return each(5, () -> nowUs += 10_000, () -> module.onEndpointList(nowUs, EndpointListType.FULL, list));
    }

    /** Settings read from their words and put in force. */
    double settingsUs() {
        return each(5, () -> nowUs += 10_000, () -> module.onSettings(nowUs, shape.settings(0)));
    }

    /** Of the module with its servers and peers, without requests. */
    long heapBytes() {
        return heapBytes;
    }

    private class Keeping extends NoOpActions {
        @Override
        public void sendAttempt(String request, String upstream, long untilUs) {
            sends.add(new String[] {request, upstream});
        }
    }
}
