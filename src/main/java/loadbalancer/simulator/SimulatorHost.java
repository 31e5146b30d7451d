package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancingPolicy;
import loadbalancer.input.InvalidSettingsException;
import loadbalancer.input.SettingsReader;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * Hosts many isolated decision modules for the simulator. Reads batches of events, reports each event to its instance,
 * and replies to each batch with the actions of the instances.
 *
 * <p>Not thread-safe; {@link #run} does all work on the calling thread. If a decision module throws, the reply reports
 * the exception and no further event is passed to any module, because the simulator then ends the run.
 */
public final class SimulatorHost {
    private static final int EXIT_OK = 0;
    private static final int EXIT_INVALID_INPUT = 1;
    private static final int INPUT_BUFFER_CHARACTERS = 1 << 16;

    private final BufferedReader input;
    private final OutputStream output;
    private final PrintStream errors;
    private final Reply reply = new Reply();
    private final EndpointPages pages = new EndpointPages();
    private final EventDecoder decoder = new EventDecoder(pages);
    private final Map<String, Instance> instances = new HashMap<>();
    /** Whether a decision module has thrown. */
    private boolean moduleFailed;

    /** A hosted decision module and the names of the values in load reports to it, in the order of the values. */
    private record Instance(LoadBalancer loadBalancer, List<String> loadReportFieldNames) {}

    /**
     * @param input batches of events in UTF-8
     * @param output receives the replies in UTF-8; flushed after each reply
     * @param errors receives one line if the input is invalid
     */
    public SimulatorHost(InputStream input, OutputStream output, PrintStream errors) {
        this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), INPUT_BUFFER_CHARACTERS);
        this.output = output;
        this.errors = errors;
    }

    /**
     * Replies to batches until the input ends.
     *
     * @return the exit status of the process: 0 at the end of the input, 1 if the input is invalid
     * @throws IOException if the input can't be read or the output can't be written
     */
    public int run() throws IOException {
        try {
            String line;
            while ((line = input.readLine()) != null) {
                replyToBatch(line);
            }
            return EXIT_OK;
        } catch (SimulatorProtocolException | InvalidSettingsException e) {
            errors.println("load-balancer: " + e.getMessage());
            return EXIT_INVALID_INPUT;
        }
    }

    private void replyToBatch(String firstLine) throws IOException {
        FieldReader header = new FieldReader(firstLine);
        if (!header.text().equals(WireNames.BATCH_START)) {
            throw new SimulatorProtocolException("expected MARK at the start of a batch but found '" + firstLine + "'");
        }
        long nowMicros = header.integer();
        reply.clear();
        readEvents(nowMicros);
        output.write(reply.finish().getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private void readEvents(long nowMicros) throws IOException {
        String instanceName = null;
        String line;
        while (!(line = readBatchLine()).equals(WireNames.BATCH_END)) {
            FieldReader fields = new FieldReader(line);
            String messageName = fields.text();
            if (messageName.equals(WireNames.EVENT_INSTANCE)) {
                instanceName = fields.text();
            } else if (messageName.equals(WireNames.ENDPOINT_PAGE)) {
                pages.read(fields, input);
            } else if (instanceName == null) {
                throw new SimulatorProtocolException("expected an INSTANCE line before '" + messageName + "'");
            } else {
                handleEvent(nowMicros, instanceName, messageName, fields);
            }
        }
    }

    private String readBatchLine() throws IOException {
        String line = input.readLine();
        if (line == null) {
            throw new SimulatorProtocolException("the input ended within a batch");
        }
        return line;
    }

    private void handleEvent(long nowMicros, String instanceName, String messageName, FieldReader fields) {
        switch (messageName) {
            case WireNames.INSTANCE_STARTED -> startInstance(nowMicros, instanceName, fields);
            case WireNames.INSTANCE_STOPPED -> instances.remove(instanceName);
            default -> reportEvent(nowMicros, instanceName, messageName, fields);
        }
    }

    private void startInstance(long nowMicros, String instanceName, FieldReader fields) {
        long seed = fields.integer();
        SettingsReader reader = new SettingsReader(fields.remainingPairs());
        LoadBalancerSettings settings = reader.read();
        callModule(instanceName, () -> {
            ReplyWriter actions = new ReplyWriter(instanceName, reply);
            LoadBalancer loadBalancer = new LoadBalancingPolicy(settings, seed, nowMicros, actions);
            instances.put(instanceName, new Instance(loadBalancer, reader.loadReportFieldNames()));
        });
    }

    private void reportEvent(long nowMicros, String instanceName, String messageName, FieldReader fields) {
        Instance instance = instances.get(instanceName);
        if (instance == null) {
            throw new SimulatorProtocolException(
                    "'" + messageName + "' for instance '" + instanceName + "', which has not started");
        }
        InstanceEvent event = decoder.decode(messageName, fields, instance.loadReportFieldNames);
        callModule(instanceName, () -> event.report(nowMicros, instance.loadBalancer));
    }

    /** Calls a decision module and reports any exception in the reply; does nothing once any module has thrown. */
    private void callModule(String instanceName, Runnable call) {
        if (moduleFailed) {
            return;
        }
        try {
            call.run();
        } catch (RuntimeException e) {
            moduleFailed = true;
            reply.instanceFailed(instanceName, e);
        }
    }
}
