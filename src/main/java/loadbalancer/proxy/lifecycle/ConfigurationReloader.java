package loadbalancer.proxy.lifecycle;

import java.util.Map;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfigurationReader;
import loadbalancer.proxy.observability.SidecarLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the configuration on SIGHUP. It is created early during startup, because an unhandled SIGHUP would end the
 * process. A signal that arrives before the sidecar has started is handled by {@link #attach}. The file is read on the
 * thread that handles the signal or calls {@code attach}, never on the event loop, which only receives the validated
 * configuration. Thread-safe.
 */
final class ConfigurationReloader {
    private final Map<String, String> environment;
    private Sidecar sidecar;
    private boolean reloadPending;

    ConfigurationReloader(Map<String, String> environment) {
        this.environment = environment;
        if (Signal.handle(new Signal("HUP"), signal -> onSignal()) == SignalHandler.SIG_IGN) {
            // If SIGHUP was already ignored when the JVM was started (for example by nohup), the JVM leaves it ignored
            // and never calls the handler.
            SidecarLog.info("configuration_reload_disabled reason=\"SIGHUP was ignored when the process was started\"");
        }
    }

    private synchronized void onSignal() {
        SidecarLog.info("configuration_reload_requested");
        reloadPending = true;
        reloadIfPending();
    }

    /** Sets the sidecar that reloads apply to. If a reload is pending, it is done before this method returns. */
    synchronized void attach(Sidecar startedSidecar) {
        sidecar = startedSidecar;
        reloadIfPending();
    }

    /** Reads and applies the configuration. If it is invalid, logs the reason and keeps the current configuration. */
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
