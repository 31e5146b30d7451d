package loadbalancer.simulator;

/**
 * The reply to one batch: a line for each action, and a line with the instance's name wherever the instance changes.
 */
final class Reply {
    private static final int INITIAL_CAPACITY = 1 << 16;

    private final StringBuilder text = new StringBuilder(INITIAL_CAPACITY);
    private String currentInstance;

    /** Starts the reply to the next batch. */
    void clear() {
        text.setLength(0);
        currentInstance = null;
    }

    /** Starts the line of an action of the instance; the caller appends the action's fields and the line break. */
    StringBuilder action(String instance, String action) {
        if (!instance.equals(currentInstance)) {
            text.append(WireNames.ACTION_INSTANCE).append(' ').append(instance).append('\n');
            currentInstance = instance;
        }
        return text.append(action);
    }

    /** Reports that the instance's decision module threw; the simulator ends the run with this text. */
    void instanceFailed(String instance, RuntimeException failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        action(instance, WireNames.INSTANCE_FAILED)
                .append(' ')
                .append(failure.toString().replace('\n', ' '))
                .append(trace.length > 0 ? " at " + trace[0] : "")
                .append('\n');
    }

    /** Ends the reply and returns its text. */
    String finish() {
        return text.append(WireNames.REPLY_END).append('\n').toString();
    }
}
