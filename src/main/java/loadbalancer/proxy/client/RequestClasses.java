package loadbalancer.proxy.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/**
 * The request classes in force, by name. Confined to the event loop once the server listens; before that, to the thread
 * that starts it.
 */
final class RequestClasses {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private long longestDeadlineMicros;

    RequestClasses(List<RequestClass> initial) {
        replaceAll(initial);
    }

    void replaceAll(List<RequestClass> replacements) {
        classes.clear();
        longestDeadlineMicros = 0;
        for (RequestClass requestClass : replacements) {
            classes.put(requestClass.name(), requestClass);
            longestDeadlineMicros = Math.max(longestDeadlineMicros, requestClass.deadlineMicros());
        }
    }

    /** Returns null if there is no class of that name. */
    RequestClass get(String name) {
        return classes.get(name);
    }

    /**
     * The longest deadline of any class, in microseconds: no client waits longer for a response. 0 if there is no
     * class.
     */
    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }
}
