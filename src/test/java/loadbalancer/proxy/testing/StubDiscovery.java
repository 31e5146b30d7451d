package loadbalancer.proxy.testing;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Answers calls to discovery as the agent of the platform does: a call for the whole list at once, and a watch when
 * there is a newer list, or with an empty delta after the wait that it states. Each new list is sent as a full
 * snapshot. It can be slow: each response then reaches the sidecar some time after it was decided. While it is silent,
 * it takes calls and never answers them.
 */
public final class StubDiscovery implements StubServer.RequestHandler {
    private static final Pattern WATCH = Pattern.compile("/registry/instances\\?index=(\\d+)&wait=(\\d+)");

    private long generation;
    private String[] entries;
    private long sentGeneration = -1;
    private volatile long delayMillis;
    private volatile boolean silent;

    public StubDiscovery(long generation, String... entries) {
        this.generation = generation;
        this.entries = entries;
    }

    /** Replaces the list. Watches that are open are answered at once. */
    public synchronized void publish(long newGeneration, String... newEntries) {
        generation = newGeneration;
        entries = newEntries;
        notifyAll();
    }

    /** Makes each response arrive this much later, from the next call on. */
    public void setDelayMillis(long newDelayMillis) {
        delayMillis = newDelayMillis;
    }

    /** Makes the agent leave calls that arrive from now on without an answer, or ends this. */
    public void setSilent(boolean newSilent) {
        silent = newSilent;
    }

    /** Waits until the current list has been written to a sidecar. */
    public synchronized void awaitSent() throws InterruptedException {
        while (sentGeneration != generation) {
            wait();
        }
    }

    @Override
    public void handle(StubServer.Message request, StubServer.Connection connection) throws IOException {
        if (silent) {
            return;
        }
        long responseDelayMillis = delayMillis;
        Matcher watch = WATCH.matcher(request.path());
        String response = watch.matches()
                ? awaitChange(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                : fullSnapshot();
        StubServer.sleep(responseDelayMillis);
        connection.respond("200 OK", "", response);
        recordSent(response);
    }

    private synchronized String fullSnapshot() {
        return SidecarFixture.endpointListJson(generation, true, entries);
    }

    private synchronized String awaitChange(long knownGeneration, long waitMillis) throws InterruptedIOException {
        long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (generation == knownGeneration) {
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                return SidecarFixture.endpointListJson(generation, false);
            }
            try {
                wait(remainingMillis);
            } catch (InterruptedException e) {
                throw new InterruptedIOException();
            }
        }
        return fullSnapshot();
    }

    private synchronized void recordSent(String response) {
        if (response.equals(fullSnapshot())) {
            sentGeneration = generation;
            notifyAll();
        }
    }
}
