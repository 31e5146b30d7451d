package loadbalancer.input;

import java.util.ArrayList;
import java.util.Arrays;
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
 * Turns path=value pairs, those of {@code ENLIST} or of a sidecar's configuration, into settings. Unknown paths are
 * skipped.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    /** Settings already taken apart: lists of plain values joined with commas, lists of objects counted. */
    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    public LoadBalancerSettings read() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < (int) need("profiles.count"); i++) {
            String p = "profiles." + i + ".";
            classes.add(new RequestClass(
                    word(p + "name"),
                    semantics(word(p + "semantics")),
                    group(values.getOrDefault(p + "group", "all")),
                    (long) real(p + "window_us", 0),
                    (long) need(p + "objective_us"),
                    real(p + "aim_stretch", 0),
                    (long) need(p + "give_up_us"),
                    real(p + "importance", 1),
                    real(p + "late_worth", 0),
                    flag(p + "stream", false)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) real("accounts.count", 0); i++) {
            String p = "accounts." + i + ".";
            tenants.add(new Tenant(word(p + "name"), real(p + "share", 0), real(p + "quota_rps", 0)));
        }
        RequestLimits limits = new RequestLimits(
                (int) real("limits.max_attempts", 1),
                flag("limits.second_copies", false),
                flag("limits.cancelling", false),
                flag("limits.probing", false),
                flag("limits.peers", false),
                flag("limits.retry_after", false),
                (long) real("limits.max_retry_after_us", 0),
                (long) real("limits.conn_idle_us", 15_000_000),
                (long) real("limits.dial_timeout_us", 250_000),
                real("limits.cpu_us_per_request", 0));
        EndpointRules rules = new EndpointRules(
                (long) need("rules.drain_grace_us"),
                need("rules.cold_share"),
                (long) need("rules.ramp_time_us"),
                need("rules.fall_multiple"),
                (long) need("rules.fall_us"),
                (long) real("rules.ask_every_us", 0),
                (long) real("rules.answer_slack_us", 0),
                (long) real("rules.close_on_drain_within_us", 0));
        UsagePrices prices = new UsagePrices(
                real("tariffs.cross_zone", 0),
                real("tariffs.peer", 0),
                real("tariffs.probe", 0),
                real("tariffs.connection", 0),
                real("tariffs.handshake", 0));
        return new LoadBalancerSettings(
                (int) need("me"),
                (int) need("balancers"),
                word("zone"),
                Arrays.asList(values.getOrDefault("azs", word("zone")).split(",")),
                Arrays.asList(values.getOrDefault("kinds", "").split(",")),
                classes,
                tenants,
                limits,
                rules,
                reports(values.getOrDefault("load_info.how", "off")),
                values.getOrDefault("discovery", "pushed").equals("on_request"),
                values.getOrDefault("counted_by", "request").equals("work"),
                real("over_share_worth", 1),
                prices,
                (long) real("period_us", 1000));
    }

    /** Names of the values of a load report, in the order in which a report has them. */
    public List<String> reportFields() {
        return Arrays.asList(values.getOrDefault("load_info.fields", "").split(","));
    }

    private String word(String path) {
        String value = values.get(path);
        if (value == null) {
            throw new InvalidSettingsException("setting '" + path + "' is missing");
        }
        return value;
    }

    private double need(String path) {
        word(path);
        return real(path, 0);
    }

    private double real(String path, double absent) {
        String value = values.get(path);
        if (value == null || value.equals("-")) {
            return absent;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("setting '" + path + "' is no number: '" + value + "'");
        }
    }

    private boolean flag(String path, boolean absent) {
        String value = values.get(path);
        return value == null ? absent : value.equals("true") || value.equals("1");
    }

    private static Idempotency semantics(String word) {
        return switch (word) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "unsafe" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new InvalidSettingsException("semantics '" + word + "' is unknown");
        };
    }

    private static DeduplicationScope group(String word) {
        return switch (word) {
            case "all", "-" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new InvalidSettingsException("group '" + word + "' is unknown");
        };
    }

    private static LoadReporting reports(String word) {
        return switch (word) {
            case "inline" -> LoadReporting.INLINE;
            case "on_probe" -> LoadReporting.ON_HEALTH_CHECK;
            default -> LoadReporting.NONE;
        };
    }
}
