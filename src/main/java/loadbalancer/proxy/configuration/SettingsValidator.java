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
        if (fresh.discoveryOnRequest() != inForce.discoveryOnRequest()) {
            return "'discovery' can't change while it runs";
        }
        if (fresh.balancers() < 1 || fresh.me() < 0 || fresh.me() >= fresh.balancers()) {
            return "'me' is not one of 'balancers'";
        }
        if (fresh.classes().isEmpty()) {
            return "'profiles' is empty";
        }
        Set<String> names = new HashSet<>();
        for (RequestClass c : fresh.classes()) {
            if (!names.add(c.name())) {
                return "'profiles' names '" + c.name() + "' twice";
            }
            if (c.aimUs() <= 0 || c.deadlineUs() <= 0) {
                return "'profiles' leaves '" + c.name() + "' no time";
            }
            if (!(c.worth() > 0)) {
                return "'profiles' gives '" + c.name() + "' no worth";
            }
        }
        EndpointRules r = fresh.rules();
        if (!(r.coldShare() > 0 && r.coldShare() <= 1)
                || r.rampUs() < 0
                || !(r.fallMultiple() > 0)
                || r.fallWindowUs() <= 0
                || r.drainGraceUs() < 0) {
            return "'rules' are out of their ranges";
        }
        if (fresh.limits().maxAttempts() < 1
                || fresh.limits().dialTimeoutUs() <= 0
                || fresh.limits().connIdleUs() <= 0) {
            return "'limits' are out of their ranges";
        }
        return null;
    }
}
