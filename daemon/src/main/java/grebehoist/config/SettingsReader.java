package grebehoist.config;

import beechfall.Balancer;
import java.util.ArrayList;
import java.util.Map;

/**
 * Reads the settings of an instance from their paths, such as {@code profiles.0.aim_us}. The simulator's wire spells
 * them out on a line and a real proxy's configuration nests them in JSON; the names and what they mean are the same,
 * and are told here once for both.
 */
public final class SettingsReader {
    private static final Map<String, Balancer.Effect> EFFECTS = Map.of(
            "idempotent", Balancer.Effect.SAFE,
            "deduplicated", Balancer.Effect.KEYED,
            "at_most_once", Balancer.Effect.UNSAFE);
    private static final Map<String, Balancer.Scope> SCOPES = Map.of(
            "all", Balancer.Scope.ALL,
            "zone", Balancer.Scope.ZONE,
            "cell", Balancer.Scope.CELL);
    private static final Map<String, Boolean> MODES = Map.of("pushed", false, "on_request", true);
    private static final Map<String, Boolean> FLAGS = Map.of("true", true, "1", true, "false", false, "0", false);

    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads the settings.
     *
     * @param values the settings by their paths; a list has its length under {@code .count}
     * @param seed the seed of the instance's random numbers
     * @throws IllegalArgumentException if a setting is missing or makes no sense; the message names it
     */
    public static Balancer.Settings read(Map<String, String> values, long seed) {
        return new SettingsReader(values).settings(seed);
    }

    /**
     * Reads one whole number.
     *
     * @throws IllegalArgumentException if it is missing or no whole number; the message names it
     */
    public static long whole(Map<String, String> values, String path) {
        return new SettingsReader(values).whole(path);
    }

    /**
     * Reads one yes or no.
     *
     * @return false where it is missing
     * @throws IllegalArgumentException if it is neither; the message names it
     */
    public static boolean flag(Map<String, String> values, String path) {
        return values.containsKey(path) && new SettingsReader(values).flag(path);
    }

    private Balancer.Settings settings(long seed) {
        var classes = new ArrayList<Balancer.RequestClass>();
        for (int i = 0; i < whole("profiles.count"); i++) {
            String path = "profiles." + i + ".";
            var effect = word(path + "effect", EFFECTS);
            boolean keyed = effect == Balancer.Effect.KEYED;
            classes.add(new Balancer.RequestClass(
                    text(path + "name"),
                    whole(path + "aim_us"),
                    whole(path + "deadline_us"),
                    number(path + "value"),
                    number(path + "late_worth"),
                    effect,
                    keyed ? word(path + "key_scope", SCOPES) : Balancer.Scope.ALL,
                    keyed ? whole(path + "window_us") : 0));
        }
        var tenants = new ArrayList<Balancer.Tenant>();
        int tenantCount = has("projects.count") ? (int) whole("projects.count") : 0;
        for (int i = 0; i < tenantCount; i++) {
            String path = "projects." + i + ".";
            tenants.add(new Balancer.Tenant(text(path + "name"), number(path + "allowance_per_s")));
        }
        var limits = new Balancer.Limits(
                flag("bounds.cancel"),
                flag("bounds.may_duplicate"),
                flag("bounds.probes"),
                word("registry_mode", MODES),
                (int) whole("bounds.most_tries"),
                whole("bounds.max_retry_after_us"));
        var rules = new Balancer.Rules(
                number("invariants.cold_from"),
                whole("invariants.cold_us"),
                number("invariants.fall_multiple"),
                whole("invariants.fall_us"),
                whole("invariants.must_ask_in_us"),
                flag(values, "invariants.full_unproven"));
        return new Balancer.Settings(
                (int) whole("balancers"),
                (int) whole("rank"),
                text("locality"),
                whole("quantum_us"),
                classes,
                tenants,
                tenantCount > 0 ? number("over_share_worth") : 1,
                flag(values, "extra.warm_keys"),
                limits,
                rules,
                seed);
    }

    private boolean has(String path) {
        return values.containsKey(path);
    }

    private String text(String path) {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("missing setting '" + path + "'");
        }
        return value;
    }

    private long whole(String path) {
        double value = number(path);
        if (value != Math.rint(value)) {
            throw new IllegalArgumentException("bad number '" + text(path) + "' in setting '" + path + "'");
        }
        return (long) value;
    }

    private double number(String path) {
        try {
            double value = Double.parseDouble(text(path));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new IllegalArgumentException("bad number '" + text(path) + "' in setting '" + path + "'");
    }

    private boolean flag(String path) {
        return word(path, FLAGS);
    }

    private <T> T word(String path, Map<String, T> words) {
        T meaning = words.get(text(path));
        if (meaning == null) {
            throw new IllegalArgumentException("unknown value '" + text(path) + "' in setting '" + path + "'");
        }
        return meaning;
    }
}
