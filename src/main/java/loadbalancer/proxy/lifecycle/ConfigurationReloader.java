package loadbalancer.proxy.lifecycle;

import java.util.Map;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.observability.SidecarLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Rereads the configuration on SIGHUP, which would end the program if nobody handled it: so from the first line on,
 * also before there is a sidecar to tell. The file is read on the signal's own thread; the loop only gets the result.
 */
final class ConfigurationReloader {
    private final Map<String, String> environment;
    private Sidecar sidecar;
    private boolean wanted;

    ConfigurationReloader(Map<String, String> environment) {
        this.environment = environment;
        if (Signal.handle(new Signal("HUP"), signal -> asked()) == SignalHandler.SIG_IGN) {
            // Java keeps what it was started with, as by nohup: no handler can change that.
            SidecarLog.info("SIGHUP is ignored by who started this program: no new configuration will be read");
        }
    }

    private synchronized void asked() {
        SidecarLog.info("asked to read the configuration again");
        wanted = true;
        go();
    }

    synchronized void serving(Sidecar started) {
        sidecar = started;
        go();
    }

    /** A file that can't be used changes nothing: what the sidecar has still works. */
    private void go() {
        if (sidecar == null || !wanted) {
            return;
        }
        wanted = false;
        try {
            sidecar.reconfigure(SidecarConfiguration.reload(environment, sidecar.settings()));
        } catch (ConfigurationException e) {
            SidecarLog.info("goes on as before: " + e.getMessage());
        }
    }
}
