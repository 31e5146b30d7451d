package loadbalancer.decision;

import java.util.SplittableRandom;

/** Creates and connects the components that handle requests, from their admission to their final response. */
final class RequestComponents {
    final AttemptEligibility eligibility;
    final RequestTracker requests;
    final AdmissionControl admission;
    final RoutingRefresher routingRefresher;
    final RequestScheduler scheduler;
    final HedgingPolicy hedging;
    final AttemptOutcomeHandler attemptOutcomeHandler;
    final HealthCheckOutcomeHandler healthCheckOutcomeHandler;

    private final Estimators estimators;
    private final RoutingComponents routing;
    private final EndpointAvailability availability;

    RequestComponents(
            Estimators estimators,
            RoutingComponents routing,
            SplittableRandom random,
            LoadBalancerActions actions,
            long nowMicros) {
        this.estimators = estimators;
        this.routing = routing;
        PolicySettings settings = estimators.settings;
        SlowStartBudget budget =
                new SlowStartBudget(settings, estimators.slowStart, estimators.work, estimators.rates, routing.table);
        eligibility = new AttemptEligibility(settings, budget);
        RequestQueue queue = new RequestQueue(settings, routing.table, actions);
        requests = new RequestTracker(settings, estimators.work, queue, eligibility, actions);
        admission = new AdmissionControl(settings, random, routing.fleetLoad, routing.table);
        EstimateLog log = new EstimateLog(actions, estimators, routing, queue, nowMicros);
        routingRefresher = new RoutingRefresher(estimators.rates, log, routing.outliers, routing.subset, routing.table);
        availability = new EndpointAvailability(
                settings, routing.outliers, eligibility, estimators.slowStart, estimators.loads, estimators.speeds);
        PowerOfTwoSelector powerOfTwo = new PowerOfTwoSelector(settings, random, availability, estimators.loads);
        LoadReportHandler reportHandler = new LoadReportHandler(routing.registry, estimators.loads);
        EndpointSelector selector = createSelector(random, reportHandler, powerOfTwo);
        OverdueAttemptTimer overdueTimer = new OverdueAttemptTimer(settings, eligibility, actions);
        AttemptSender sender = createSender(budget, overdueTimer, actions);
        scheduler = new RequestScheduler(settings, routing.registry, queue, selector, sender, requests, eligibility);
        hedging = new HedgingPolicy(
                routing.table, routingRefresher, routing.healthChecks, powerOfTwo, sender, overdueTimer, actions);
        attemptOutcomeHandler = createAttemptOutcomeHandler(reportHandler);
        healthCheckOutcomeHandler = new HealthCheckOutcomeHandler(
                routing.registry, routing.healthChecks, routing.outliers, estimators.loads, reportHandler, scheduler);
    }

    private EndpointSelector createSelector(
            SplittableRandom random, LoadReportHandler reportHandler, PowerOfTwoSelector powerOfTwo) {
        SampledLoadSelector sampledLoad = new SampledLoadSelector(
                routing.registry,
                estimators.rates,
                routing.table,
                reportHandler,
                routing.healthChecks,
                availability,
                powerOfTwo);
        return new EndpointSelector(
                estimators.settings,
                random,
                routingRefresher,
                routing.table,
                routing.zoneTrafficSplit,
                powerOfTwo,
                sampledLoad);
    }

    private AttemptSender createSender(
            SlowStartBudget budget, OverdueAttemptTimer overdueTimer, LoadBalancerActions actions) {
        AttemptForecaster forecaster = new AttemptForecaster(estimators.loads, routing.fleetLoad, estimators.speeds);
        return new AttemptSender(
                eligibility, forecaster, estimators.attempts, budget, routing.idleConnections, overdueTimer, actions);
    }

    private AttemptOutcomeHandler createAttemptOutcomeHandler(LoadReportHandler reportHandler) {
        OutcomeEvaluator evaluator =
                new OutcomeEvaluator(routing.idleConnections, estimators.speeds, routing.outliers, estimators.loads);
        return new AttemptOutcomeHandler(
                routing.registry,
                requests,
                estimators.attempts,
                routing.idleConnections,
                evaluator,
                reportHandler,
                scheduler);
    }
}
