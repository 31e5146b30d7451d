package loadbalancer.decision;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * HALO Power-of-D with D = 2 (HALO paper, section IV-C) in one sidecar. Creates the components and passes each event to
 * the component that handles it; contains no rule itself.
 *
 * <p>{@link RoutingTable} splits the fleet's request rate over the machine types by Eq. (4), {@link EndpointSelector}
 * draws two endpoints from it and takes the less loaded one, {@link RequestScheduler} queues requests that no endpoint
 * can take, and {@link AttemptEligibility} checks every send and rejection.
 */
public final class LoadBalancingPolicy implements LoadBalancer {
    private final Estimators estimators;
    private final EndpointSubset subset;
    private final AdmissionControl admission;
    private final RoutingRefresher routingRefresher;
    private final RequestScheduler scheduler;
    private final HedgingPolicy hedging;
    private final AttemptOutcomeHandler attemptOutcomeHandler;
    private final HealthCheckOutcomeHandler healthCheckOutcomeHandler;
    private final GossipSender gossipSender;
    private final GossipReceiver gossipReceiver;
    private final DiscoveryPoller discovery;
    // Package-private for the tests.
    final EndpointRegistry endpoints;
    final AttemptEligibility eligibility;
    final RequestTracker requests;

    /**
     * Creates the policy and makes its first decisions: it may start the gossip timer and poll discovery.
     *
     * @param seed seed of the generator of all random numbers
     */
    public LoadBalancingPolicy(
            LoadBalancerSettings initialSettings, long seed, long nowMicros, LoadBalancerActions actions) {
        SplittableRandom random = new SplittableRandom(seed);
        estimators = new Estimators(initialSettings, nowMicros);
        RoutingComponents routing = new RoutingComponents(estimators, actions);
        endpoints = routing.registry;
        subset = routing.subset;
        RequestComponents requestComponents = new RequestComponents(estimators, routing, random, actions, nowMicros);
        eligibility = requestComponents.eligibility;
        requests = requestComponents.requests;
        admission = requestComponents.admission;
        routingRefresher = requestComponents.routingRefresher;
        scheduler = requestComponents.scheduler;
        hedging = requestComponents.hedging;
        attemptOutcomeHandler = requestComponents.attemptOutcomeHandler;
        healthCheckOutcomeHandler = requestComponents.healthCheckOutcomeHandler;
        gossipSender = new GossipSender(estimators.settings, random, actions, estimators.rates, routing);
        gossipReceiver = new GossipReceiver(estimators.settings, estimators.gossip, endpoints, routing.idleConnections);
        discovery = new DiscoveryPoller(estimators.settings, actions, random);
        apply(initialSettings);
        routingRefresher.invalidate(nowMicros);
        discovery.start();
    }

    /**
     * Keeps the learned estimates, but forgets the gossip received so far. Pending requests keep the request class that
     * they were accepted with.
     */
    @Override
    public void onSettings(long nowMicros, LoadBalancerSettings newSettings) {
        apply(newSettings);
        onEndpointsChanged(nowMicros);
    }

    private void apply(LoadBalancerSettings newSettings) {
        estimators.settings.apply(newSettings);
        estimators.work.addClasses(newSettings.requestClasses());
        estimators.gossip.reset(newSettings.sidecarCount(), newSettings.zones().size());
        endpoints.onSettings();
        gossipSender.startIfAllowed();
    }

    @Override
    public void onEndpointList(long nowMicros, EndpointListType type, List<Endpoint> listEntries) {
        discovery.onEndpointList(type);
        if (type != EndpointListType.FAILED) {
            endpoints.onEndpointList(type, listEntries);
            onEndpointsChanged(nowMicros);
        }
    }

    private void onEndpointsChanged(long nowMicros) {
        endpoints.updateReady();
        routingRefresher.invalidate(nowMicros);
        subset.invalidate(nowMicros);
        scheduler.sendQueuedRequests(nowMicros);
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        estimators.rates.countArrival();
        hedging.countArrival();
        PendingRequest accepted = requests.accept(nowMicros, request);
        routingRefresher.refreshIfDue(nowMicros);
        if (admission.shouldShed(nowMicros, accepted)) {
            requests.rejectOrFail(accepted);
        } else {
            scheduler.schedule(nowMicros, accepted);
        }
    }

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptResult result) {
        attemptOutcomeHandler.onOutcome(nowMicros, result);
    }

    @Override
    public void onStreamStart(
            long nowMicros, String requestId, int attemptNumber, String endpointId, long latencyMicros) {
        requests.markStreaming(requestId);
    }

    @Override
    public void onHealthCheck(
            long nowMicros, String endpointId, AttemptOutcome outcome, long latencyMicros, LoadReport loadReport) {
        healthCheckOutcomeHandler.onOutcome(nowMicros, endpointId, outcome, loadReport);
    }

    @Override
    public void onRequestExpired(long nowMicros, String requestId) {
        requests.expire(requestId);
    }

    @Override
    public void onGossip(long nowMicros, int sidecarIndex, byte[] message) {
        gossipReceiver.onMessage(nowMicros, sidecarIndex, message);
    }

    @Override
    public void onTimer(long nowMicros, String timerName) {
        switch (timerName) {
            case TimerNames.QUEUE_SWEEP -> scheduler.sweep(nowMicros);
            case TimerNames.GOSSIP -> gossipSender.onTimer(nowMicros);
            case TimerNames.DISCOVERY_RETRY -> discovery.poll();
            default -> onAttemptTimer(nowMicros, timerName);
        }
    }

    private void onAttemptTimer(long nowMicros, String timerName) {
        PendingRequest request = requests.find(timerName.substring(timerName.indexOf(':') + 1));
        if (timerName.startsWith(TimerNames.ATTEMPT_OVERDUE)) {
            hedging.onAttemptOverdue(nowMicros, request);
        } else if (timerName.startsWith(TimerNames.HEALTH_CHECK_DUE)) {
            hedging.onHealthCheckDue(nowMicros, request);
        }
    }
}
