package loadbalancer.proxy.lifecycle;

import java.util.Map;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfigurationReader;
import loadbalancer.proxy.observability.SidecarLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the configuration on SIGHUP. Installed first thing, as an unhandled SIGHUP ends the process; a signal that
 * comes before there is a sidecar is kept until {@link #attach}. The file is read on the signal's own thread, so that
 * the event loop only receives the validated result.
 */
final class ConfigurationReloader {
    private final Map<String, String> environment;
    private Sidecar sidecar;
    private boolean reloadPending;

    ConfigurationReloader(Map<String, String> environment) {
        this.environment = environment;
        if (Signal.handle(new Signal("HUP"), signal -> onSignal()) == SignalHandler.SIG_IGN) {
            // Java leaves a signal ignored that was so when it was started, as by nohup: no handler changes that.
            SidecarLog.info("configuration_reload_disabled reason=\"SIGHUP was ignored when the process was started\"");
        }
    }

    private synchronized void onSignal() {
        SidecarLog.info("configuration_reload_requested");
        reloadPending = true;
        reloadIfPending();
    }

    /** From now on reloads go to this sidecar, one that is pending at once. */
    synchronized void attach(Sidecar started) {
        sidecar = started;
        reloadIfPending();
    }

    /** An invalid configuration changes nothing: the one in force still works. */
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
