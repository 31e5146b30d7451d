package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Checks a complete record against all rules, with the slack that the pages state. */
final class HistoryChecker {
    /** Every time limit of the protocol is longer by this on sockets. */
    static final long SOCKET_SLACK_MICROS = 50_000;

    private static final List<RuleCheck> CHECKS = List.of(
            new FinalResponseCheck(),
            new DuplicateCheck(),
            new DrainCheck(),
            new SlowStartCheck(),
            new PassedDeadlineCheck(),
            new DisconnectCheck(),
            new RepeatedIdCheck(),
            new StalledClientCheck(),
            new ProcessCheck());

    private HistoryChecker() {}

    /** Returns all violations in the order of their times. */
    static List<Violation> check(History history, SoakSettings settings) {
        HistoryIndex index = new HistoryIndex(history);
        List<Violation> violations = new ArrayList<>();
        for (RuleCheck check : CHECKS) {
            check.check(history, index, settings, violations);
        }
        violations.sort(Comparator.comparingLong(Violation::atMicros));
        return violations;
    }
}
