package loadbalancer.proxy.configuration;

import java.util.HashSet;
import java.util.Set;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;

/**
 * Whether settings may take the place of those in force. They are checked whole before any of them is used: a sidecar
 * that serves has something to lose, one that starts has not.
 */
final class SettingsValidator {
    private SettingsValidator() {}

    /** What is wrong first, by the name it has in the configuration; null where nothing is. */
    static String wrong(LoadBalancerSettings fresh, LoadBalancerSettings inForce) {
        if (fresh.polledDiscovery() != inForce.polledDiscovery()) {
            return "'discovery' can't change while it runs";
        }
        if (fresh.sidecarCount() < 1 || fresh.sidecarIndex() < 0 || fresh.sidecarIndex() >= fresh.sidecarCount()) {
            return "'me' is not one of 'balancers'";
        }
        if (fresh.requestClasses().isEmpty()) {
            return "'profiles' is empty";
        }
        Set<String> names = new HashSet<>();
        for (RequestClass c : fresh.requestClasses()) {
            if (!names.add(c.name())) {
                return "'profiles' names '" + c.name() + "' twice";
            }
            if (c.latencyObjectiveMicros() <= 0 || c.deadlineMicros() <= 0) {
                return "'profiles' leaves '" + c.name() + "' no time";
            }
            if (!(c.priorityWeight() > 0)) {
                return "'profiles' gives '" + c.name() + "' no worth";
            }
        }
        EndpointRules r = fresh.rules();
        if (!(r.slowStartInitialRatio() > 0 && r.slowStartInitialRatio() <= 1)
                || r.slowStartMicros() < 0
                || !(r.overloadMultiple() > 0)
                || r.overloadWindowMicros() <= 0
                || r.drainGraceMicros() < 0) {
            return "'rules' are out of their ranges";
        }
        if (fresh.limits().maxAttempts() < 1
                || fresh.limits().connectTimeoutMicros() <= 0
                || fresh.limits().connectionIdleTimeoutMicros() <= 0) {
            return "'limits' are out of their ranges";
        }
        return null;
    }
}
