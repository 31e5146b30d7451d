package rushproxy;

import java.util.List;

/**
 * The interface of the decision module: events come in as method calls, decisions go out through {@link Actions}. Times
 * are microseconds of one clock that only moves forward; nothing else tells the module the time.
 */
public interface Balancer {
    /** May a request be repeated: always, with its key within a window, or never. */
    enum Semantics {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which upstreams drop repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** What the list says of an upstream. */
    enum UpstreamState {
        GONE,
        READY,
        DRAINING
    }

    /** A list is what changed, or whole, or could not be had, or what was known at the start. */
    enum ListKind {
        DELTA,
        FULL,
        FAILED,
        CACHED
    }

    /** How upstreams tell their load: not at all, with each answer, or when asked. */
    enum Reports {
        NONE,
        INLINE,
        ON_PROBE
    }

    /**
     * {@code SPOILT}: something came back that is no answer. {@code INVALID}: the request itself was found to be no
     * good, which says nothing of the upstream.
     */
    enum Outcome {
        OK(true),
        ERROR(true),
        REJECTED(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false),
        SPOILT(true),
        INVALID(true);

        /** False where the outcome proves that the attempt never ran. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /** A class of requests. Times in microseconds; {@code worth} in points of the result. */
    record RequestClass(
            String name,
            Semantics semantics,
            Group group,
            long windowUs,
            long aimUs,
            double aimStretch,
            long deadlineUs,
            double worth,
            double lateWorth,
            boolean stream) {}

    /** A tenant and its share of what the fleet can do; the quota is in requests a second. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /** {@code dialTimeoutUs}: a send that needs a new connection reaches its upstream at most so much later. */
    record Limits(
            int maxAttempts,
            boolean secondCopies,
            boolean cancelling,
            boolean probing,
            boolean peers,
            boolean retryAfter,
            long maxRetryAfterUs,
            long connIdleUs,
            long dialTimeoutUs,
            double cpuUsPerRequest) {}

    /** {@code closeOnDrainUs} is 0 where idle connections to a draining upstream may stay open. */
    record Rules(
            long drainGraceUs,
            double coldShare,
            long rampUs,
            double fallMultiple,
            long fallWindowUs,
            long askEveryUs,
            long answerSlackUs,
            long closeOnDrainUs) {}

    /** Points of the result for each unit of use; 0 where it is free. */
    record Prices(double crossZone, double peer, double probe, double connection, double handshake) {}

    /** All that an instance is told at its start or by a reload. */
    record Settings(
            int me,
            int balancers,
            String zone,
            List<String> zones,
            List<String> kinds,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            Reports reports,
            boolean discoveryOnRequest,
            boolean worthByWork,
            double overShareWorth,
            Prices prices,
            long tickUs) {}

    /** One line of the list. {@code startedUs} is 0 where it started long ago. */
    record Upstream(
            String id, String zone, String kind, int cell, long startedUs, double weight, UpstreamState state) {}

    /** {@code costHintUs} is 0 where there is none; {@code remainingUs} is the time until the client gives up. */
    record Request(
            String id,
            long key,
            boolean repeat,
            boolean write,
            double costHintUs,
            long remainingUs,
            String tenant,
            String requestClass) {}

    /** A load report; a value that the site does not report is negative. */
    record LoadReport(double inFlight, double queued, double utilisation) {}

    /** What the module may do, each at once and without an answer. */
    interface Actions {
        void send(String request, String upstream, long untilUs);

        void refuse(String request, long retryAfterUs);

        void fail(String request);

        void cancel(String request, int attempt);

        void probe(String upstream);

        void subscribe();

        /** A message to the peer of this number. */
        void tell(int peer, byte[] message);

        /** Closes this instance's idle connections to the upstream. */
        void close(String upstream);

        void timer(String mark, long delayUs);

        void log(String text);
    }

    /**
     * Other settings hold from now on, checked by the host. Requests that are open keep their class; how lists come
     * ({@link Settings#discoveryOnRequest}) is the same as before.
     */
    void onSettings(long now, Settings settings);

    void onList(long now, ListKind kind, List<Upstream> entries);

    void onRequest(long now, Request request);

    /** {@code done}: the request is over, by this outcome or already before it. */
    void onOutcome(
            long now,
            String request,
            int attempt,
            String upstream,
            Outcome outcome,
            long latencyUs,
            boolean done,
            LoadReport report);

    void onStreamStart(long now, String request, int attempt, String upstream, long latencyUs);

    void onProbe(long now, String upstream, Outcome outcome, long latencyUs, LoadReport report);

    /** The client has left, or the answer is overdue: the request is over. */
    void onExpired(long now, String request);

    void onPeer(long now, int peer, byte[] message);

    void onTimer(long now, String mark);
}
