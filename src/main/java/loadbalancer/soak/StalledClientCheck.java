package loadbalancer.soak;

import java.util.List;
import loadbalancer.soak.History.StalledClient;
import loadbalancer.soak.Violation.Rule;

/** A client that stops within its request gets an error or a close within 3 s of connecting. */
final class StalledClientCheck implements RuleCheck {
    static final long LIMIT_MICROS = 3_000_000;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        for (StalledClient client : history.stalledClients) {
            long limitMicros = client.openedMicros()
                    + LIMIT_MICROS
                    + HistoryChecker.SOCKET_SLACK_MICROS
                    + index.stoppedMicros(client.process(), client.openedMicros(), client.endedMicros());
            if (client.endedMicros() > limitMicros) {
                violations.add(new Violation(
                        Rule.STALLED_CLIENT,
                        client.endedMicros(),
                        "",
                        "process=%d connected=%.3fs".formatted(client.process(), client.openedMicros() / 1e6)));
            }
        }
    }
}
