package rushproxy;

import java.util.Arrays;
import picocli.CommandLine;
import rushproxy.sidecar.Sidecar;
import rushproxy.simulation.ScaleCommand;
import rushproxy.wire.SimHost;

/**
 * Command line: {@code serve} runs a sidecar, {@code simhost} hosts many instances on the simulator's wire,
 * {@code scale} measures what fleets cost.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(new SimHost(System.in, System.out, System.err).run());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            // Not by exit, which would wait for a good end of what never began.
            Runtime.getRuntime().halt(Sidecar.serve(System.getenv()));
        }
        if (args.length > 0 && args[0].equals("scale")) {
            System.exit(new CommandLine(new ScaleCommand()).execute(Arrays.copyOfRange(args, 1, args.length)));
        }
        System.err.println("usage: java -jar rushproxy.jar serve|simhost|scale");
        System.exit(2);
    }
}
