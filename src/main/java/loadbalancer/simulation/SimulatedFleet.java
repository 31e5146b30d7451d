package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.decision.Endpoint;

/** Sidecars, servers, their clients, discovery and the datagrams between peers, on one clock and from one seed. */
final class SimulatedFleet {
    private static final long START_US = 1_000_000_000L;
    private static final long WORD_US = 2_000;
    /** Of the worthier class; the rest are of the other. */
    private static final double SUBMITS = 0.7;

    private final FleetShape shape;
    private final EventQueue timeline = new EventQueue(START_US);
    private final SplittableRandom random;
    private final List<SimulatedEndpoint> servers = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private long taken;
    private long served;
    private long words;
    private long wordBytes;

    SimulatedFleet(FleetShape shape) {
        this.shape = shape;
        random = new SplittableRandom(shape.seed());
        for (int i = 0; i < shape.servers(); i++) {
            servers.add(new SimulatedEndpoint("s" + i));
        }
        List<Endpoint> list = list();
        for (int i = 0; i < shape.sidecars(); i++) {
            sidecars.add(new SimulatedSidecar(this, i));
            sidecars.get(i).start(list);
            arrive(i);
        }
    }

    FleetShape shape() {
        return shape;
    }

    long now() {
        return timeline.now();
    }

    /** Plays so many more seconds and returns the number of events. */
    long play(double seconds) {
        return timeline.playTo(now() + (long) (seconds * 1e6));
    }

    void after(long delayUs, Runnable run) {
        timeline.after(delayUs, run);
    }

    private List<Endpoint> list() {
        return servers.stream().map(SimulatedEndpoint::entry).toList();
    }

    private void arrive(int sidecar) {
        double gapUs = -Math.log(1 - random.nextDouble()) * 1e6 / shape.rate(sidecar);
        timeline.after((long) gapUs, () -> {
            taken++;
            sidecars.get(sidecar).request(random.nextDouble() < SUBMITS ? "submit" : "issue");
            arrive(sidecar);
        });
    }

    /** The server's process is another one from now on, under its id; each sidecar is told in its own time. */
    void restartServer(int server) {
        servers.get(server).restart(now());
        Endpoint entry = servers.get(server).entry();
        for (SimulatedSidecar s : sidecars) {
            timeline.after((long) (random.nextDouble() * shape.listDelayUs()), () -> s.changed(entry));
        }
    }

    void restartSidecar(int sidecar) {
        sidecars.get(sidecar).start(list());
    }

    /** Takes a request to the server and returns when it is answered. */
    long serve(String server) {
        double work = -Math.log(1 - random.nextDouble()) * FleetShape.WORK_US;
        return servers.get(Integer.parseInt(server.substring(1))).take(now(), work);
    }

    void tell(int from, int to, byte[] word) {
        for (int i = Math.max(0, to); i < (to < 0 ? shape.sidecars() : to + 1); i++) {
            if (i == from) {
                continue;
            }
            words++;
            wordBytes += word.length;
            if (random.nextDouble() >= shape.lostWords()) {
                SimulatedSidecar peer = sidecars.get(i);
                timeline.after(WORD_US, () -> peer.heard(from, word));
            }
        }
    }

    void served() {
        served++;
    }

    long taken() {
        return taken;
    }

    /** The part of what was taken so far that was served within its time. */
    double servedPart() {
        return served / (double) Math.max(1, taken);
    }

    /** How far each sidecar that has said it takes the fleet's rate to be off the true one, as a part of it, sorted. */
    double[] rateErrors() {
        return sidecars.stream()
                .mapToDouble(SimulatedSidecar::believedRate)
                .filter(r -> r >= 0)
                .map(r -> Math.abs(r / shape.rate() - 1))
                .sorted()
                .toArray();
    }

    long words() {
        return words;
    }

    long wordBytes() {
        return wordBytes;
    }

    List<SimulatedEndpoint> servers() {
        return servers;
    }
}
