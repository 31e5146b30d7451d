package loadbalancer.proxy.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/**
 * The current request classes, by name. Confined to the thread that starts the server until the server listens, and to
 * the event loop from then on.
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
     * Returns the longest deadline of any class, in microseconds; 0 if there is no class. No request is given more
     * time, even if its client would wait for longer.
     */
    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }
}
