package loadbalancer.proxy.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.RequestLimits;

/**
 * Checks reloaded settings before they replace the current ones. Messages use the names of the configuration file. The
 * settings that a sidecar starts with are not checked here, because at that time they can't harm a running service.
 * Therefore a value that is out of range in the current settings too is no reason to reject a reload: the reload would
 * otherwise leave the sidecar at a discovery service that is about to end. Stateless.
 */
final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Checks that the reloaded settings are within their ranges.
     *
     * @throws ConfigurationException if a setting is out of range that is within its range in the current settings. The
     *     message names the setting
     */
    static void validate(LoadBalancerSettings reloaded, LoadBalancerSettings current) throws ConfigurationException {
        List<String> violations = violations(reloaded);
        violations.removeAll(violations(current));
        if (!violations.isEmpty()) {
            throw new ConfigurationException("configuration, settings: " + violations.get(0));
        }
    }

    /** Returns one message for each check that the settings fail. */
    private static List<String> violations(LoadBalancerSettings settings) {
        List<String> violations = new ArrayList<>();
        addUnless(
                settings.sidecarCount() >= 1
                        && settings.sidecarIndex() >= 0
                        && settings.sidecarIndex() < settings.sidecarCount(),
                "'me' or 'balancers' is out of range: 'balancers' must be at least 1, 'me' from 0 to 'balancers' - 1",
                violations);
        checkRequestClasses(settings.requestClasses(), violations);
        checkEndpointRules(settings.rules(), violations);
        checkLimits(settings.limits(), violations);
        return violations;
    }

    private static void checkRequestClasses(List<RequestClass> requestClasses, List<String> violations) {
        addUnless(!requestClasses.isEmpty(), "'profiles' is empty: it must have at least one entry", violations);
        Set<String> names = new HashSet<>();
        for (RequestClass requestClass : requestClasses) {
            String name = "'" + requestClass.name() + "'";
            addUnless(names.add(requestClass.name()), "'profiles' contains the name " + name + " twice", violations);
            addUnless(
                    requestClass.latencyObjectiveMicros() > 0 && requestClass.deadlineMicros() > 0,
                    "'profiles': " + name + " is out of range: 'objective_us' and 'give_up_us' must be above 0",
                    violations);
            boolean keyed = requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
            addUnless(
                    !keyed || requestClass.deduplicationScope() != DeduplicationScope.UNSTATED,
                    "'profiles': " + name + " has no 'group': a class with idempotency keys must have one",
                    violations);
            addUnless(
                    requestClass.priorityWeight() > 0,
                    "'profiles': " + name + " is out of range: 'importance' must be above 0",
                    violations);
        }
    }

    private static void checkEndpointRules(EndpointRules rules, List<String> violations) {
        addUnless(
                rules.slowStartInitialRatio() > 0 && rules.slowStartInitialRatio() <= 1,
                "'rules' has a value out of range: 'cold_share' must be above 0 and at most 1",
                violations);
        addUnless(
                rules.overloadMultiple() > 0 && rules.overloadWindowMicros() > 0,
                "'rules' has a value out of range: 'fall_multiple' and 'fall_us' must be above 0",
                violations);
        addUnless(
                rules.slowStartMicros() >= 0 && rules.drainGraceMicros() >= 0,
                "'rules' has a value out of range: 'ramp_time_us' and 'drain_grace_us' must be at least 0",
                violations);
    }

    private static void checkLimits(RequestLimits limits, List<String> violations) {
        addUnless(
                limits.maxAttempts() >= 1,
                "'limits' has a value out of range: 'max_attempts' must be at least 1",
                violations);
        addUnless(
                limits.connectTimeoutMicros() > 0 && limits.connectionIdleTimeoutMicros() > 0,
                "'limits' has a value out of range: 'dial_timeout_us' and 'conn_idle_us' must be above 0",
                violations);
    }

    private static void addUnless(boolean valid, String message, List<String> violations) {
        if (!valid) {
            violations.add(message);
        }
    }
}
