package loadbalancer.simulator;

/**
 * The reply to one batch. It contains a line for each action, and a line with the instance name before each action
 * whose instance differs from that of the action before it.
 */
final class Reply {
    private static final int INITIAL_CAPACITY = 1 << 16;

    private final StringBuilder text = new StringBuilder(INITIAL_CAPACITY);
    private String currentInstance;

    /** Discards the text, so that the reply to the next batch can be built. */
    void clear() {
        text.setLength(0);
        currentInstance = null;
    }

    /**
     * Starts the line of an action and returns the builder, to which the caller appends the fields and the line feed.
     */
    StringBuilder startAction(String instance, String action) {
        if (!instance.equals(currentInstance)) {
            text.append(WireNames.ACTION_INSTANCE).append(' ').append(instance).append('\n');
            currentInstance = instance;
        }
        return text.append(action);
    }

    /** Reports that the decision module of the instance threw; the simulator ends the run and reports this text. */
    void instanceFailed(String instance, RuntimeException exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        startAction(instance, WireNames.INSTANCE_FAILED)
                .append(' ')
                .append(exception.toString().replace('\n', ' '))
                .append(trace.length > 0 ? " at " + trace[0] : "")
                .append('\n');
    }

    /** Ends the reply and returns its text. */
    String finish() {
        return text.append(WireNames.REPLY_END).append('\n').toString();
    }
}
