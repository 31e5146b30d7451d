package loadbalancer.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.LoadBalancingPolicy;
import loadbalancer.decision.Request;

/** One real module and what stands for its process: nothing but the carrying of its decisions to the models. */
final class SimulatedSidecar extends NoOpActions {
    private static final Pattern FLEET_RATE = Pattern.compile("^estimates .*?\\bfleet_rate_per_second=(\\d+)");

    private final SimulatedFleet fleet;
    private final int me;
    private final Map<String, Integer> attempts = new HashMap<>();
    private LoadBalancingPolicy module;
    /** Timers and answers of a process that has ended find another number here. */
    private int process;

    private long requests;
    private double believedRate = -1;

    SimulatedSidecar(SimulatedFleet fleet, int me) {
        this.fleet = fleet;
        this.me = me;
    }

    /** A new process: it knows the list that its start brings and nothing else. */
    void start(List<Endpoint> known) {
        process++;
        attempts.clear();
        believedRate = -1;
        module = new LoadBalancingPolicy(
                fleet.shape().settings(me), fleet.shape().seed() * 1_000_003 + me * 31L + process, fleet.now(), this);
        module.onEndpointList(fleet.now(), EndpointListType.FULL, known);
    }

    void changed(Endpoint entry) {
        module.onEndpointList(fleet.now(), EndpointListType.DELTA, List.of(entry));
    }

    void heard(int peer, byte[] word) {
        module.onGossip(fleet.now(), peer, word);
    }

    void request(String requestClass) {
        String id = me + "-" + process + "-" + requests++;
        attempts.put(id, 0);
        module.onRequest(fleet.now(), new Request(id, -1, false, false, 0, FleetShape.DEADLINE_US, null, requestClass));
    }

    /** Whatever comes of an action comes later, so none re-enters the module. */
    private void later(long delayUs, Runnable run) {
        int mine = process;
        fleet.after(delayUs, () -> {
            if (process == mine) {
                run.run();
            }
        });
    }

    @Override
    public void sendAttempt(String request, String upstream, long untilUs) {
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        long sentUs = fleet.now();
        long doneUs = fleet.serve(upstream);
        boolean late = doneUs > untilUs;
        long endUs = late ? untilUs : doneUs;
        later(endUs - sentUs, () -> {
            if (!late) {
                attempts.remove(request);
                fleet.served();
            }
            module.onAttemptOutcome(
                    fleet.now(),
                    new AttemptResult(
                            request,
                            number,
                            upstream,
                            late ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
                            endUs - sentUs,
                            !late,
                            null));
        });
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        attempts.remove(request);
    }

    @Override
    public void fail(String request) {
        attempts.remove(request);
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        fleet.tell(me, peer, message);
    }

    @Override
    public void startTimer(String mark, long delayUs) {
        later(delayUs, () -> module.onTimer(fleet.now(), mark));
    }

    /** The module's own line of estimates tells what it takes the fleet's rate for. */
    @Override
    public void log(String text) {
        Matcher rate = FLEET_RATE.matcher(text);
        if (rate.find()) {
            believedRate = Double.parseDouble(rate.group(1));
        }
    }

    /** Requests a second of the whole fleet, as its module said last; negative before it said anything. */
    double believedRate() {
        return believedRate;
    }
}
