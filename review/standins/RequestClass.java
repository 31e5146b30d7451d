import java.util.List;

/**
 * A request class of the deployment umujyi-hq, with the figures of its page.
 *
 * @param semantics {@code safe}, {@code keyed} or {@code unsafe}
 * @param share the share of the requests
 * @param minWorkMillis least work of a request on a core of speed 1
 * @param maxWorkMillis most work of a request on a core of speed 1
 */
record RequestClass(
        String name,
        String semantics,
        String group,
        double share,
        int minWorkMillis,
        int maxWorkMillis,
        int objectiveMillis,
        int giveUpMillis,
        int importance) {

    static final RequestClass SUBMIT_CHECK =
            new RequestClass("submit-check", "keyed", "cell", 0.69, 34, 61, 300, 1_200, 10);
    static final RequestClass ISSUE_REPORT =
            new RequestClass("issue-report", "unsafe", "all", 0.31, 64, 120, 600, 2_500, 2);
    static final List<RequestClass> ALL = List.of(SUBMIT_CHECK, ISSUE_REPORT);

    static RequestClass named(String name) {
        return ALL.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
    }

    boolean isKeyed() {
        return semantics.equals("keyed");
    }

    /** Returns the request class as an entry of {@code profiles} in the settings. */
    String json() {
        return """
                {"name":"%s","semantics":"%s","group":"%s","window_us":6000000,"objective_us":%d,"give_up_us":%d,\
                "importance":%d,"late_worth":0.2,"stream":false}"""
                .formatted(name, semantics, group, objectiveMillis * 1000L, giveUpMillis * 1000L, importance);
    }
}
