package loadbalancer.input;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.LoadReporting;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.RequestLimits;
import loadbalancer.settings.Tenant;
import loadbalancer.settings.UsagePrices;

/**
 * Reads settings from pairs of path and value. The pairs come from the configuration of a sidecar or from the simulator
 * protocol.
 *
 * <p>Only this class maps the external names of settings to the terms of the code. It ignores unknown paths, so that a
 * configuration may contain settings of a newer version. Not thread-safe.
 */
public final class SettingsReader {
    private static final long DEFAULT_CONNECTION_IDLE_TIMEOUT_MICROS = 15_000_000;
    private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long DEFAULT_CLOCK_TICK_MICROS = 1_000;

    private final SettingValues values;

    /**
     * @param values values by path. A list of plain values is one comma-separated value; a list of objects has its
     *     length at {@code PATH.count} and its items at {@code PATH.0}, {@code PATH.1} and so on
     */
    public SettingsReader(Map<String, String> values) {
        this.values = new SettingValues(values);
    }

    /**
     * Reads all settings without checking their ranges.
     *
     * @throws InvalidSettingsException if a setting is missing or malformed
     */
    public LoadBalancerSettings read() {
        List<RequestClass> requestClasses = requestClasses();
        List<Tenant> tenants = tenants();
        RequestLimits limits = limits();
        EndpointRules rules = rules();
        UsagePrices prices = prices();
        return new LoadBalancerSettings(
                values.integer("me"),
                values.integer("balancers"),
                values.string("zone"),
                values.namesOr("azs", values.string("zone")),
                values.namesOr("kinds", ""),
                requestClasses,
                tenants,
                limits,
                rules,
                loadReporting("load_info.how"),
                values.hasString("discovery", "on_request"),
                values.hasString("counted_by", "work"),
                values.decimalOr("over_share_worth", 1),
                prices,
                values.microsOr("period_us", DEFAULT_CLOCK_TICK_MICROS));
    }

    /** Returns the names of the values in a load report, in the order of the values in the simulator's reports. */
    public List<String> loadReportFieldNames() {
        return values.namesOr("load_info.fields", "");
    }

    private List<RequestClass> requestClasses() {
        List<RequestClass> requestClasses = new ArrayList<>();
        int count = values.integer("profiles.count");
        for (int i = 0; i < count; i++) {
            requestClasses.add(requestClass("profiles." + i + "."));
        }
        return requestClasses;
    }

    private RequestClass requestClass(String prefix) {
        return new RequestClass(
                values.string(prefix + "name"),
                idempotency(prefix + "semantics"),
                deduplicationScope(prefix + "group"),
                values.microsOr(prefix + "window_us", 0),
                values.micros(prefix + "objective_us"),
                values.decimalOr(prefix + "aim_stretch", 0),
                values.micros(prefix + "give_up_us"),
                values.decimalOr(prefix + "importance", 1),
                values.decimalOr(prefix + "late_worth", 0),
                values.flag(prefix + "stream"));
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = values.integerOr("accounts.count", 0);
        for (int i = 0; i < count; i++) {
            tenants.add(tenant("accounts." + i + "."));
        }
        return tenants;
    }

    private Tenant tenant(String prefix) {
        return new Tenant(
                values.string(prefix + "name"),
                values.decimalOr(prefix + "share", 0),
                values.decimalOr(prefix + "quota_rps", 0));
    }

    private RequestLimits limits() {
        return new RequestLimits(
                values.integerOr("limits.max_attempts", 1),
                values.flag("limits.second_copies"),
                values.flag("limits.cancelling"),
                values.flag("limits.probing"),
                values.flag("limits.peers"),
                values.flag("limits.retry_after"),
                values.microsOr("limits.max_retry_after_us", 0),
                values.microsOr("limits.conn_idle_us", DEFAULT_CONNECTION_IDLE_TIMEOUT_MICROS),
                values.microsOr("limits.dial_timeout_us", DEFAULT_CONNECT_TIMEOUT_MICROS),
                values.decimalOr("limits.cpu_us_per_request", 0));
    }

    private EndpointRules rules() {
        return new EndpointRules(
                values.micros("rules.drain_grace_us"),
                values.decimal("rules.cold_share"),
                values.micros("rules.ramp_time_us"),
                values.decimal("rules.fall_multiple"),
                values.micros("rules.fall_us"),
                values.microsOr("rules.ask_every_us", 0),
                values.microsOr("rules.answer_slack_us", 0),
                values.microsOr("rules.close_on_drain_within_us", 0));
    }

    private UsagePrices prices() {
        return new UsagePrices(
                values.decimalOr("tariffs.cross_zone", 0),
                values.decimalOr("tariffs.peer", 0),
                values.decimalOr("tariffs.probe", 0),
                values.decimalOr("tariffs.connection", 0),
                values.decimalOr("tariffs.handshake", 0));
    }

    private Idempotency idempotency(String path) {
        String name = values.string(path);
        return switch (name) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "unsafe" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw InvalidSettingsException.unknownName(path, name, "safe, keyed, unsafe");
        };
    }

    private DeduplicationScope deduplicationScope(String path) {
        String name = values.stringOr(path, "");
        return switch (name) {
            case "all", "-" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            case "" -> DeduplicationScope.UNSTATED;
            default -> throw InvalidSettingsException.unknownName(path, name, "all, zone, cell");
        };
    }

    /**
     * Returns {@link LoadReporting#NONE} if the name is absent or unknown; the decision module works without load
     * reports.
     */
    private LoadReporting loadReporting(String path) {
        return switch (values.stringOr(path, "off")) {
            case "inline" -> LoadReporting.INLINE;
            case "on_probe" -> LoadReporting.ON_HEALTH_CHECK;
            default -> LoadReporting.NONE;
        };
    }
}
