package loadbalancer.soak;

import java.util.List;

/** Checks one rule of the protocol on a complete record. Implementations keep no state. */
interface RuleCheck {
    /** Adds each violation of the rule to {@code violations}. */
    void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations);
}
