package loadbalancer.input;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.LoadReporting;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.Tenant;
import org.junit.jupiter.api.Test;

/** Tests that settings are read by their external names, and that errors name the missing or malformed setting. */
class SettingsReaderTest {
    private final Map<String, String> values = new HashMap<>(Map.ofEntries(
            Map.entry("me", "3"),
            Map.entry("balancers", "9"),
            Map.entry("zone", "za"),
            Map.entry("profiles.count", "1"),
            Map.entry("profiles.0.name", "submit"),
            Map.entry("profiles.0.semantics", "keyed"),
            Map.entry("profiles.0.objective_us", "300000"),
            Map.entry("profiles.0.give_up_us", "800000"),
            Map.entry("rules.drain_grace_us", "500000"),
            Map.entry("rules.cold_share", "0.2"),
            Map.entry("rules.ramp_time_us", "9000000"),
            Map.entry("rules.fall_multiple", "3"),
            Map.entry("rules.fall_us", "1000000")));

    private LoadBalancerSettings read() {
        return new SettingsReader(values).read();
    }

    private void assertInvalid(String setting, String expectedMessage) {
        InvalidSettingsException exception = assertThrows(InvalidSettingsException.class, this::read);
        assertEquals(setting, exception.setting());
        assertEquals(expectedMessage, exception.getMessage());
    }

    @Test
    void usesDefaultsForAbsentSettings() {
        LoadBalancerSettings settings = read();
        assertEquals(3, settings.sidecarIndex());
        assertEquals(9, settings.sidecarCount());
        assertEquals(List.of("za"), settings.zones());
        assertEquals(List.of(), settings.tenants());
        assertEquals(LoadReporting.NONE, settings.loadReporting());
        assertFalse(settings.polledDiscovery());
        assertEquals(1, settings.overQuotaWeightRatio());
        assertEquals(1, settings.limits().maxAttempts());
        assertEquals(250_000, settings.limits().connectTimeoutMicros());
        assertEquals(15_000_000, settings.limits().connectionIdleTimeoutMicros());
        assertEquals(0, settings.rules().closeOnDrainMicros());
        assertEquals(1_000, settings.clockTickMicros());
        assertEquals(
                new RequestClass(
                        "submit",
                        Idempotency.IDEMPOTENT_WITH_KEY,
                        DeduplicationScope.UNSTATED,
                        0,
                        300_000,
                        0,
                        800_000,
                        1,
                        0,
                        false),
                settings.requestClasses().get(0));
    }

    @Test
    void mapsExternalNames() {
        values.putAll(Map.of(
                "azs", "za,zb",
                "discovery", "on_request",
                "counted_by", "work",
                "load_info.how", "on_probe",
                "load_info.fields", "pending,busy_reqs",
                "limits.second_copies", "true",
                "profiles.0.group", "cell",
                "accounts.count", "1",
                "accounts.0.name", "office",
                "accounts.0.quota_rps", "201.5"));
        LoadBalancerSettings settings = read();
        assertEquals(List.of("za", "zb"), settings.zones());
        assertTrue(settings.polledDiscovery());
        assertTrue(settings.weightByWork());
        assertEquals(LoadReporting.ON_HEALTH_CHECK, settings.loadReporting());
        assertEquals(List.of("pending", "busy_reqs"), new SettingsReader(values).loadReportFieldNames());
        assertTrue(settings.limits().hedging());
        assertEquals(DeduplicationScope.CELL, settings.requestClasses().get(0).deduplicationScope());
        assertEquals(List.of(new Tenant("office", 0, 201.5)), settings.tenants());
    }

    @Test
    void namesMissingSetting() {
        values.remove("rules.cold_share");
        assertInvalid("rules.cold_share", "setting 'rules.cold_share' is missing; add it to the settings");
    }

    @Test
    void namesMalformedNumber() {
        values.put("rules.fall_us", "1s");
        assertInvalid("rules.fall_us", "setting 'rules.fall_us' is not a number: '1s'; write a decimal number");
    }

    @Test
    void listsPermittedNamesForUnknownName() {
        values.put("profiles.0.semantics", "maybe");
        assertInvalid(
                "profiles.0.semantics",
                "setting 'profiles.0.semantics' has an unknown value: 'maybe'; write one of safe, keyed, unsafe");
    }
}
