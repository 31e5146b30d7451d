package loadbalancer.proxy.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.RequestLimits;

/**
 * Checks reloaded settings before they replace the current ones. Messages use the names of the configuration file. The
 * settings that a sidecar starts with are not checked here, because at that time they can't harm a running service.
 * Stateless.
 */
final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Checks that the reloaded settings are within their ranges and that a reload can change the current settings to
     * them.
     *
     * @throws ConfigurationException if a setting is out of range or can't be changed by a reload. The message names
     *     the setting
     */
    static void validate(LoadBalancerSettings reloaded, LoadBalancerSettings current) throws ConfigurationException {
        require(
                reloaded.polledDiscovery() == current.polledDiscovery(),
                "'discovery' can't be changed by a reload; restart the sidecar to change it");
        require(
                reloaded.sidecarCount() >= 1
                        && reloaded.sidecarIndex() >= 0
                        && reloaded.sidecarIndex() < reloaded.sidecarCount(),
                "'me' or 'balancers' is out of range: 'balancers' must be at least 1, 'me' from 0 to 'balancers' - 1");
        validateRequestClasses(reloaded.requestClasses());
        validateEndpointRules(reloaded.rules());
        validateLimits(reloaded.limits());
    }

    private static void validateRequestClasses(List<RequestClass> requestClasses) throws ConfigurationException {
        require(!requestClasses.isEmpty(), "'profiles' is empty: it must have at least one entry");
        Set<String> names = new HashSet<>();
        for (RequestClass requestClass : requestClasses) {
            String name = "'" + requestClass.name() + "'";
            require(names.add(requestClass.name()), "'profiles' contains the name " + name + " twice");
            require(
                    requestClass.latencyObjectiveMicros() > 0 && requestClass.deadlineMicros() > 0,
                    "'profiles': " + name + " is out of range: 'objective_us' and 'give_up_us' must be above 0");
            require(
                    requestClass.priorityWeight() > 0,
                    "'profiles': " + name + " is out of range: 'importance' must be above 0");
        }
    }

    private static void validateEndpointRules(EndpointRules rules) throws ConfigurationException {
        require(
                rules.slowStartInitialRatio() > 0
                        && rules.slowStartInitialRatio() <= 1
                        && rules.slowStartMicros() >= 0
                        && rules.overloadMultiple() > 0
                        && rules.overloadWindowMicros() > 0
                        && rules.drainGraceMicros() >= 0,
                "'rules' has a value out of range: 'cold_share' must be above 0 and at most 1, 'fall_multiple' and"
                        + " 'fall_us' above 0, 'ramp_time_us' and 'drain_grace_us' at least 0");
    }

    private static void validateLimits(RequestLimits limits) throws ConfigurationException {
        require(
                limits.maxAttempts() >= 1
                        && limits.connectTimeoutMicros() > 0
                        && limits.connectionIdleTimeoutMicros() > 0,
                "'limits' has a value out of range: 'max_attempts' must be at least 1, 'dial_timeout_us' and"
                        + " 'conn_idle_us' above 0");
    }

    private static void require(boolean valid, String message) throws ConfigurationException {
        if (!valid) {
            throw new ConfigurationException("configuration, settings: " + message);
        }
    }
}
