package loadbalancer.proxy.lifecycle;

import java.util.Map;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfigurationReader;
import loadbalancer.proxy.observability.SidecarLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the configuration on SIGHUP. Created early in the start, because an unhandled SIGHUP would end the process. A
 * signal that arrives before there is a sidecar takes effect in {@link #attach}. The file is read on the thread of the
 * signal or of {@code attach}, never on the event loop, which only receives the validated result. Thread-safe.
 */
final class ConfigurationReloader {
    private final Map<String, String> environment;
    private Sidecar sidecar;
    private boolean reloadPending;

    ConfigurationReloader(Map<String, String> environment) {
        this.environment = environment;
        if (Signal.handle(new Signal("HUP"), signal -> onSignal()) == SignalHandler.SIG_IGN) {
            // If SIGHUP was ignored when Java was started, as nohup does, Java keeps it ignored and calls no handler.
            SidecarLog.info("configuration_reload_disabled reason=\"SIGHUP was ignored when the process was started\"");
        }
    }

    private synchronized void onSignal() {
        SidecarLog.info("configuration_reload_requested");
        reloadPending = true;
        reloadIfPending();
    }

    /** Sets the sidecar that reloads apply to. A pending reload is done at once. */
    synchronized void attach(Sidecar started) {
        sidecar = started;
        reloadIfPending();
    }

    /** Reads and applies the configuration. If it is invalid, that is logged and the one in force stays. */
    private void reloadIfPending() {
        if (sidecar == null || !reloadPending) {
            return;
        }
        reloadPending = false;
        try {
            sidecar.applyConfiguration(SidecarConfigurationReader.reload(environment, sidecar.settings()));
        } catch (ConfigurationException e) {
            SidecarLog.info("configuration_rejected reason=" + SidecarLog.quote(e.getMessage()));
        }
    }
}
