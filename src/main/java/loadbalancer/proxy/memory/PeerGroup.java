package loadbalancer.proxy.memory;

/** The peers whose unfinished messages share the memory limit. */
public enum PeerGroup {
    CLIENTS("clients", 4),
    ENDPOINTS("endpoints", 2),
    DISCOVERY("discovery", 2);

    private static final int TOTAL_EIGHTHS = 8;

    private final String logName;
    private final int guaranteedEighths;

    PeerGroup(String logName, int guaranteedEighths) {
        this.logName = logName;
        this.guaranteedEighths = guaranteedEighths;
    }

    String logName() {
        return logName;
    }

    /**
     * Returns the part of the limit that the other groups can't take from this one. The parts of all groups add up to
     * the limit.
     */
    long guaranteedBytes(long limitBytes) {
        return limitBytes * guaranteedEighths / TOTAL_EIGHTHS;
    }
}
