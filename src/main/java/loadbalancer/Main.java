package loadbalancer;

import java.util.Arrays;
import loadbalancer.proxy.lifecycle.SidecarProcess;
import loadbalancer.simulation.FleetCostCommand;
import loadbalancer.simulator.SimulatorHost;
import picocli.CommandLine;

/**
 * Command line: {@code serve} runs a sidecar, {@code simulator} hosts many instances on the simulator's wire,
 * {@code fleet-cost} measures what fleets cost.
 */
public final class Main {
    private Main() {}

    /** Runs the command that the first argument names; exits with 2 where there is none. */
    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("simulator")) {
            System.exit(new SimulatorHost(System.in, System.out, System.err).run());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            // Not by exit, which would wait for a good end of what never began.
            Runtime.getRuntime().halt(SidecarProcess.serve(System.getenv()));
        }
        if (args.length > 0 && args[0].equals("fleet-cost")) {
            System.exit(new CommandLine(new FleetCostCommand()).execute(Arrays.copyOfRange(args, 1, args.length)));
        }
        System.err.println("usage: java -jar load-balancer-sidecar.jar serve|simulator|fleet-cost");
        System.exit(2);
    }
}
