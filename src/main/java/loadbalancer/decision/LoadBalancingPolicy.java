package loadbalancer.decision;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * HALO Power-of-D with D = 2 (HALO paper, section IV-C) in one sidecar: the composition of the rules. Each event is
 * handed to the part that decides on it; no rule stands here.
 *
 * <p>{@link RoutingTable} splits the fleet's request rate over the machine types by Eq. (4), {@link EndpointSelector}
 * draws two endpoints of it and takes the less loaded one, {@link RequestScheduler} queues what finds no room, and
 * {@link RetryEligibility} checks every send and rejection.
 */
public final class LoadBalancingPolicy implements LoadBalancer {
    private final PolicySettings settings = new PolicySettings();
    private final GossipState gossip = new GossipState();
    private final WorkEstimator work;
    private final RequestRateEstimator rates;
    final EndpointRegistry endpoints;
    private final EndpointSubset subset;
    private final RoutingRefresh refresh;
    final RetryEligibility retries;
    final RequestTracker requests;
    private final AdmissionControl admission;
    private final RequestScheduler scheduler;
    private final HedgingPolicy hedging;
    private final AttemptOutcomes attemptOutcomes;
    private final HealthCheckResults healthCheckResults;
    private final GossipSender gossipSender;
    private final GossipReceiver gossipReceiver;
    private final DiscoveryBackoff discovery;

    /**
     * Starts the module.
     *
     * @param seed seed of all random draws
     */
    public LoadBalancingPolicy(
            LoadBalancerSettings initialSettings, long seed, long nowMicros, LoadBalancerActions actions) {
        SplittableRandom random = new SplittableRandom(seed);
        // Estimates.
        SlowStart slowStart = new SlowStart(settings);
        InFlightAttempts attempts = new InFlightAttempts();
        work = new WorkEstimator(initialSettings.requestClasses());
        rates = new RequestRateEstimator(settings, gossip, nowMicros);
        SpeedEstimator speeds = new SpeedEstimator(settings, work, slowStart);
        LoadEstimator loads = new LoadEstimator(work);
        // Endpoints and the split.
        IdleConnectionGuard idle = new IdleConnectionGuard(settings, actions);
        endpoints = new EndpointRegistry(settings, idle);
        HealthChecks healthChecks = new HealthChecks(actions);
        OutlierDetector outliers = new OutlierDetector(endpoints);
        ZoneShares zoneShares = new ZoneShares(settings, endpoints, gossip);
        subset = new EndpointSubset(settings, endpoints, rates, zoneShares, idle);
        RoutingTable routing = new RoutingTable(settings, endpoints, subset, rates, work, speeds, slowStart);
        FleetLoadEstimator fleetLoad = new FleetLoadEstimator(settings, attempts, gossip, slowStart, routing);
        // Rules for sends.
        SlowStartBudget budget = new SlowStartBudget(settings, slowStart, work, rates, routing);
        retries = new RetryEligibility(settings, budget);
        RequestQueue queue = new RequestQueue(settings, routing, actions);
        requests = new RequestTracker(settings, work, queue, retries, actions);
        admission = new AdmissionControl(settings, random, fleetLoad, routing);
        EstimateLog log = new EstimateLog(
                actions,
                new EstimateLog.Sources(rates, work, fleetLoad, routing, queue, endpoints, slowStart),
                nowMicros);
        refresh = new RoutingRefresh(rates, log, outliers, subset, routing);
        // Selection.
        EndpointAvailability availability =
                new EndpointAvailability(settings, outliers, retries, slowStart, loads, speeds);
        PowerOfTwoSelector powerOfTwo = new PowerOfTwoSelector(settings, random, availability, loads);
        LoadReports reports = new LoadReports(endpoints, loads);
        HealthCheckedSelector healthChecked =
                new HealthCheckedSelector(endpoints, rates, routing, reports, healthChecks, availability, powerOfTwo);
        EndpointSelector selector =
                new EndpointSelector(settings, random, refresh, routing, zoneShares, powerOfTwo, healthChecked);
        // Attempts.
        AttemptForecaster forecaster = new AttemptForecaster(loads, fleetLoad, speeds);
        OverdueAttemptTimer overdueTimer = new OverdueAttemptTimer(settings, retries, actions);
        AttemptSender sender = new AttemptSender(retries, forecaster, attempts, budget, idle, overdueTimer, actions);
        scheduler = new RequestScheduler(settings, endpoints, queue, selector, sender, requests, retries);
        hedging = new HedgingPolicy(routing, refresh, healthChecks, powerOfTwo, sender, overdueTimer, actions);
        OutcomeEvaluator evaluator = new OutcomeEvaluator(idle, speeds, outliers, loads);
        attemptOutcomes = new AttemptOutcomes(endpoints, requests, attempts, idle, evaluator, reports, scheduler);
        healthCheckResults = new HealthCheckResults(endpoints, healthChecks, outliers, loads, reports, scheduler);
        // Messages.
        gossipSender = new GossipSender(settings, random, actions, endpoints, rates, fleetLoad, idle);
        gossipReceiver = new GossipReceiver(settings, gossip, endpoints, idle);
        discovery = new DiscoveryBackoff(settings, actions, random);
        apply(initialSettings);
        refresh.invalidate(nowMicros);
        discovery.start();
    }

    /** Learned estimates stay, and pending requests keep the request class that they came with. */
    @Override
    public void onSettings(long nowMicros, LoadBalancerSettings newSettings) {
        apply(newSettings);
        onEndpointsChanged(nowMicros);
    }

    private void apply(LoadBalancerSettings newSettings) {
        settings.apply(newSettings);
        work.addClasses(newSettings.requestClasses());
        gossip.reset(settings.sidecarCount(), settings.zoneCount());
        endpoints.onSettings();
        gossipSender.startIfWanted();
    }

    @Override
    public void onEndpointList(long nowMicros, EndpointListType type, List<Endpoint> listings) {
        discovery.onEndpointList(type);
        if (type != EndpointListType.FAILED) {
            endpoints.onEndpointList(type, listings);
            onEndpointsChanged(nowMicros);
        }
    }

    private void onEndpointsChanged(long nowMicros) {
        endpoints.updateReady();
        refresh.invalidate(nowMicros);
        subset.invalidate(nowMicros);
        scheduler.dispatch(nowMicros);
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        rates.countArrival();
        hedging.countArrival();
        PendingRequest accepted = requests.accept(nowMicros, request);
        refresh.refresh(nowMicros);
        if (admission.shouldShed(nowMicros, accepted)) {
            requests.giveUp(accepted);
        } else {
            scheduler.schedule(nowMicros, accepted);
        }
    }

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptResult result) {
        attemptOutcomes.onOutcome(nowMicros, result);
    }

    @Override
    public void onStreamStart(long nowMicros, String requestId, int attempt, String endpointId, long latencyMicros) {
        requests.markStreaming(requestId);
    }

    @Override
    public void onHealthCheck(
            long nowMicros, String endpointId, AttemptOutcome outcome, long latencyMicros, LoadReport loadReport) {
        healthCheckResults.onOutcome(nowMicros, endpointId, outcome, loadReport);
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
