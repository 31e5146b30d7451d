package loadbalancer.soak;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** One run: draws the deployment and the faults from a seed, plays them, and checks the record. */
final class SoakRun {
    private static final long READY_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long SAMPLE_INTERVAL_MILLIS = 500;
    private static final long WAIT_SAMPLE_INTERVAL_MILLIS = 50;
    private static final long FINAL_WAIT_MILLIS = 700;
    private static final int FAULT_THREADS = 6;

    /** What a run has found. */
    record Result(
            long seed,
            SoakSettings settings,
            List<Fault> faults,
            History history,
            List<Violation> violations,
            List<SidecarUnderTest.LogLine> log,
            Histogram latencyMicros) {}

    private final long seed;
    private final long lengthMicros;
    private final FaultShim shim;

    /** @param shim null if system calls can't be made to fail */
    SoakRun(long seed, long lengthMicros, FaultShim shim) {
        this.seed = seed;
        this.lengthMicros = lengthMicros;
        this.shim = shim;
    }

    Result play() throws IOException, InterruptedException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SoakSettings settings = SoakSettings.draw(random);
        List<Fault> faults = drawFaults(random, settings);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ScheduledExecutorService executor = Executors.newScheduledThreadPool(FAULT_THREADS);
        Path folder = Files.createTempDirectory("fault-soak");
        SoakContext context = new SoakContext(group.next(), new RunClock(), settings, new History(), random);
        SoakWorld world = new SoakWorld(context, folder, shim);
        context.loop().submit(() -> LagMeter.start(context)).sync();
        try {
            measureProcessorWaits(context, world, executor);
            for (int sidecar = 0; sidecar < settings.sidecarCount(); sidecar++) {
                world.start(sidecar);
            }
            awaitReady(world, settings);
            injectFaults(faults, context, world, executor);
        } finally {
            executor.shutdownNow();
            executor.awaitTermination(READY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            for (SidecarUnderTest sidecar : world.sidecars()) {
                sidecar.kill();
            }
            deleteFolder(folder);
        }
        Result result = context.loop()
                .submit(() -> result(context, world, faults))
                .sync()
                .getNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return result;
    }

    private List<Fault> drawFaults(UniformRandomProvider random, SoakSettings settings) {
        List<Fault> faults = FaultPlan.draw(random, settings, lengthMicros);
        UniformRandomProvider separateRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(~seed);
        faults.addAll(FaultPlan.drawSlowDiscovery(separateRandom, settings, lengthMicros, faults));
        return faults;
    }

    private static void measureProcessorWaits(SoakContext context, SoakWorld world, ScheduledExecutorService executor) {
        ProcessorWaitMeter meter = new ProcessorWaitMeter(context);
        executor.scheduleWithFixedDelay(
                () -> meter.sample(world.sidecars()),
                WAIT_SAMPLE_INTERVAL_MILLIS,
                WAIT_SAMPLE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void injectFaults(
            List<Fault> faults, SoakContext context, SoakWorld world, ScheduledExecutorService executor)
            throws InterruptedException {
        executor.scheduleWithFixedDelay(
                () -> world.sidecars().forEach(SidecarUnderTest::sampleResources),
                SAMPLE_INTERVAL_MILLIS,
                SAMPLE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        new FaultInjector(context, world, executor).schedule(faults);
        Thread.sleep(lengthMicros / 1_000);
        context.loop()
                .submit(() -> world.clients().forEach(ClientStandIn::stop))
                .sync();
        Thread.sleep(context.settings().longestDeadlineMicros() / 1_000 + FINAL_WAIT_MILLIS);
        context.loop().submit(world::close).sync();
    }

    private Result result(SoakContext context, SoakWorld world, List<Fault> faults) {
        List<SidecarUnderTest.LogLine> log = world.sidecars().stream()
                .flatMap(sidecar -> sidecar.log().stream())
                .toList();
        return new Result(
                seed,
                context.settings(),
                faults,
                context.history(),
                HistoryChecker.check(context.history(), context.settings()),
                log,
                world.latencyMicros());
    }

    private static void awaitReady(SoakWorld world, SoakSettings settings) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        for (int sidecar = 0; sidecar < settings.sidecarCount(); sidecar++) {
            while (!world.isReady(sidecar) && System.nanoTime() < deadlineNanos) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        }
    }

    /** Deletes a folder and the files in it. */
    static void deleteFolder(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
        }
        Files.deleteIfExists(folder);
    }
}
