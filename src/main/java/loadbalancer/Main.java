package loadbalancer;

import java.io.IOException;
import java.util.Arrays;
import loadbalancer.proxy.lifecycle.SidecarProcess;
import loadbalancer.simulation.FleetCostCommand;
import loadbalancer.simulator.SimulatorHost;
import loadbalancer.soak.FaultSoakCommand;
import picocli.CommandLine;

/**
 * The command line. {@code serve} runs a sidecar, {@code simulator} hosts decision modules that a simulator drives over
 * standard input and output, {@code fleet-cost} measures the processor time, memory and messages that fleets use, and
 * {@code fault-soak} checks sidecar processes under injected faults. The exit status is 2 if the command line is
 * invalid, otherwise that of the command.
 */
public final class Main {
    private static final String SERVE = "serve";
    private static final String SIMULATOR = "simulator";
    private static final String FLEET_COST = "fleet-cost";
    private static final String FAULT_SOAK = "fault-soak";
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs the command that the first argument names and ends the process.
     *
     * @throws IOException if the simulator's streams fail
     * @throws InterruptedException if the main thread is interrupted while the sidecar serves
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        String command = arguments.length == 0 ? "" : arguments[0];
        boolean withoutOptions = arguments.length == 1;
        if (command.equals(SIMULATOR) && withoutOptions) {
            System.exit(new SimulatorHost(System.in, System.out, System.err).run());
        }
        if (command.equals(SERVE) && withoutOptions) {
            // System.exit would run the shutdown hook, if it is registered already. The hook would wait for a graceful
            // shutdown and then end the process with exit status 0, although the start has failed.
            Runtime.getRuntime().halt(SidecarProcess.serve(System.getenv()));
        }
        if (command.equals(FLEET_COST)) {
            String[] options = Arrays.copyOfRange(arguments, 1, arguments.length);
            System.exit(new CommandLine(new FleetCostCommand()).execute(options));
        }
        if (command.equals(FAULT_SOAK)) {
            String[] options = Arrays.copyOfRange(arguments, 1, arguments.length);
            System.exit(new CommandLine(new FaultSoakCommand()).execute(options));
        }
        System.err.println("usage: java -jar load-balancer-sidecar.jar serve|simulator|fleet-cost|fault-soak");
        System.exit(EXIT_USAGE);
    }
}
