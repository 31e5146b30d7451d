package loadbalancer.proxy.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/** The request classes in force, by name. Confined to the event loop once the server listens. */
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

    /** Returns null where there is no class of that name. */
    RequestClass get(String name) {
        return classes.get(name);
    }

    /** No client waits longer than this for a response; 0 where there is no class. */
    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }
}
