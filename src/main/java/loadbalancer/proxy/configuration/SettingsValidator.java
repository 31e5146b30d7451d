package loadbalancer.proxy.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.RequestLimits;

/**
 * Checks the settings of a reload before they replace those in force. Messages use the names of the configuration file.
 * The settings of a start are not checked here, because no running service could be damaged by them. Stateless.
 */
final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Checks settings against their ranges and against those in force.
     *
     * @throws ConfigurationException naming the first setting that is out of range or can't be changed by a reload
     */
    static void validate(LoadBalancerSettings reloaded, LoadBalancerSettings inForce) throws ConfigurationException {
        require(
                reloaded.polledDiscovery() == inForce.polledDiscovery(),
                "'discovery' can't change while it runs: restart the sidecar to change it");
        require(
                reloaded.sidecarCount() >= 1
                        && reloaded.sidecarIndex() >= 0
                        && reloaded.sidecarIndex() < reloaded.sidecarCount(),
                "'me' is not one of 'balancers': it must be from 0 to 'balancers' - 1");
        validateRequestClasses(reloaded.requestClasses());
        validateEndpointRules(reloaded.rules());
        validateLimits(reloaded.limits());
    }

    private static void validateRequestClasses(List<RequestClass> requestClasses) throws ConfigurationException {
        require(!requestClasses.isEmpty(), "'profiles' is empty: at least one is needed");
        Set<String> names = new HashSet<>();
        for (RequestClass requestClass : requestClasses) {
            String name = "'" + requestClass.name() + "'";
            require(names.add(requestClass.name()), "'profiles' names " + name + " twice");
            require(
                    requestClass.latencyObjectiveMicros() > 0 && requestClass.deadlineMicros() > 0,
                    "'profiles' leaves " + name + " no time: 'objective_us' and 'give_up_us' must be above 0");
            require(
                    requestClass.priorityWeight() > 0,
                    "'profiles' gives " + name + " no weight: 'importance' must be above 0");
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
                "'rules' are out of their ranges: 'cold_share' must be above 0 and at most 1, 'fall_multiple' and"
                        + " 'fall_us' above 0, 'ramp_time_us' and 'drain_grace_us' at least 0");
    }

    private static void validateLimits(RequestLimits limits) throws ConfigurationException {
        require(
                limits.maxAttempts() >= 1
                        && limits.connectTimeoutMicros() > 0
                        && limits.connectionIdleTimeoutMicros() > 0,
                "'limits' are out of their ranges: 'max_attempts' must be at least 1, 'dial_timeout_us' and"
                        + " 'conn_idle_us' above 0");
    }

    private static void require(boolean valid, String message) throws ConfigurationException {
        if (!valid) {
            throw new ConfigurationException("configuration, settings: " + message);
        }
    }
}
