package loadbalancer.proxy.lifecycle;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.decision.LoadBalancingPolicy;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.configuration.SidecarConfigurationReader;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.StartupTimer;

/**
 * The process of one sidecar: reads the configuration, starts the sidecar, reports readiness, and stops the sidecar on
 * a termination signal.
 */
public final class SidecarProcess {
    private static final int EXIT_STOPPED = 0;
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_CONFIGURATION_INVALID = 2;

    private SidecarProcess() {}

    /**
     * Starts the sidecar and serves until the process ends. Returns only if the start failed; the result is the exit
     * code that the process should end with. {@code environment} contains the environment variables of the process.
     */
    public static int serve(Map<String, String> environment) throws InterruptedException {
        int exitCode = EXIT_START_FAILED;
        try {
            exitCode = startAndServe(environment);
        } catch (ConfigurationException e) {
            SidecarLog.info("configuration_invalid reason=" + SidecarLog.quote(e.getMessage()));
            exitCode = EXIT_CONFIGURATION_INVALID;
        } catch (RuntimeException | Error e) {
            // Errors are caught too. Otherwise the thread of the event loop would keep the process alive although it
            // never becomes ready.
            SidecarLog.error("start_failed", e);
        }
        SidecarLog.flush();
        return exitCode;
    }

    private static int startAndServe(Map<String, String> environment)
            throws ConfigurationException, InterruptedException {
        StartupTimer timer = new StartupTimer();
        NettyEnvironment.prepare();
        ConfigurationReloader reloader = new ConfigurationReloader(environment);
        SidecarConfiguration configuration = SidecarConfigurationReader.read(environment);
        timer.phaseCompleted("settings");
        Sidecar sidecar = new Sidecar(configuration, SidecarProcess::newLoadBalancer);
        StartupWarmUp warmUp = new StartupWarmUp(configuration, SidecarProcess::newLoadBalancer);
        sidecar.delayReadinessForWarmUp(warmUp::cancel);
        if (!tryStart(sidecar)) {
            return EXIT_START_FAILED;
        }
        stopOnTermination(sidecar);
        SidecarLog.info("listening name=" + SidecarLog.quote(configuration.name()) + " address="
                + sidecar.listenAddress() + " " + configuration.describeLimits());
        reloader.attach(sidecar);
        timer.phaseCompleted("sockets");
        int warmUpRequests = warmUp.run();
        sidecar.warmUpCompleted();
        timer.phaseCompleted("warm_up");
        sidecar.awaitUsableEndpointList();
        timer.phaseCompleted("endpoint_list");
        SidecarLog.info(
                "ready " + timer.summary() + " warm_up_requests=" + warmUpRequests + sidecar.describeEndpointList());
        awaitTermination();
        return EXIT_STOPPED;
    }

    private static LoadBalancer newLoadBalancer(
            SidecarConfiguration configuration, long nowMicros, LoadBalancerActions actions) {
        return new LoadBalancingPolicy(configuration.settings(), configuration.seed(), nowMicros, actions);
    }

    /** Returns true if the sidecar has started; otherwise logs the failure and returns false. */
    private static boolean tryStart(Sidecar sidecar) {
        try {
            sidecar.start();
            return true;
        } catch (Exception e) {
            // If an address can't be bound, Netty throws a checked BindException without declaring it.
            SidecarLog.info("start_failed error=" + SidecarLog.quote(e));
            return false;
        }
    }

    private static void stopOnTermination(Sidecar sidecar) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(sidecar)));
    }

    private static void stop(Sidecar sidecar) {
        CountDownLatch stopped = new CountDownLatch(1);
        sidecar.shutDownGracefully(stopped::countDown);
        try {
            stopped.await();
            SidecarLog.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // A requested stop is not a failure. Without this call the exit code would be that of the signal.
        Runtime.getRuntime().halt(EXIT_STOPPED);
    }

    /** Blocks until the shutdown hook ends the process. */
    private static void awaitTermination() throws InterruptedException {
        new CountDownLatch(1).await();
    }
}
