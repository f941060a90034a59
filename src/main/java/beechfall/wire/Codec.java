package beechfall.wire;

import beechfall.Balancer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;

/** Translates between the lines of the wire and the events and actions of {@link Balancer}. */
final class Codec {
    private static final Map<String, Balancer.Outcome> OUTCOMES = Map.of(
            "delivered", Balancer.Outcome.OK,
            "app_error", Balancer.Outcome.ERROR,
            "shed", Balancer.Outcome.FULL,
            "expired", Balancer.Outcome.TIMEOUT,
            "dial_failed", Balancer.Outcome.CONNECT_FAILED,
            "dropped", Balancer.Outcome.RESET,
            "revoked", Balancer.Outcome.CANCELLED,
            "unused", Balancer.Outcome.NOT_SENT);
    private static final Map<String, Balancer.State> STATES = Map.of(
            "IN", Balancer.State.READY,
            "LAME", Balancer.State.DRAINING,
            "OUT", Balancer.State.GONE);
    private static final Map<String, Balancer.ListKind> LISTS = Map.of(
            "patch", Balancer.ListKind.DELTA,
            "whole", Balancer.ListKind.FULL,
            "stale_copy", Balancer.ListKind.CACHED,
            "broken", Balancer.ListKind.FAILED);
    private static final Map<String, Balancer.Effect> EFFECTS = Map.of(
            "idempotent", Balancer.Effect.SAFE,
            "deduplicated", Balancer.Effect.KEYED,
            "at_most_once", Balancer.Effect.UNSAFE);
    private static final Map<String, Balancer.Scope> SCOPES = Map.of(
            "all", Balancer.Scope.ALL,
            "zone", Balancer.Scope.ZONE,
            "cell", Balancer.Scope.CELL);
    private static final Map<String, Boolean> MODES = Map.of("pushed", false, "on_request", true);

    private Codec() { }

    /** Reads the settings of an {@code up} line. */
    static Balancer.Settings settings(Fields up) {
        var pairs = new Pairs(up);
        var classes = new ArrayList<Balancer.RequestClass>();
        for (int i = 0; i < pairs.whole("profiles.count"); i++) {
            String path = "profiles." + i + ".";
            var effect = pairs.word(path + "effect", EFFECTS);
            boolean keyed = effect == Balancer.Effect.KEYED;
            classes.add(new Balancer.RequestClass(pairs.text(path + "name"), pairs.whole(path + "aim_us"),
                    pairs.whole(path + "deadline_us"), pairs.number(path + "value"),
                    pairs.number(path + "late_worth"), effect,
                    keyed ? pairs.word(path + "key_scope", SCOPES) : Balancer.Scope.ALL,
                    keyed ? pairs.whole(path + "window_us") : 0));
        }
        var tenants = new ArrayList<Balancer.Tenant>();
        int tenantCount = pairs.has("projects.count") ? (int) pairs.whole("projects.count") : 0;
        for (int i = 0; i < tenantCount; i++) {
            String path = "projects." + i + ".";
            tenants.add(new Balancer.Tenant(pairs.text(path + "name"), pairs.number(path + "allowance_per_s")));
        }
        var limits = new Balancer.Limits(pairs.flag("bounds.cancel"), pairs.flag("bounds.may_duplicate"),
                pairs.flag("bounds.probes"), pairs.word("registry_mode", MODES),
                (int) pairs.whole("bounds.most_tries"), pairs.whole("bounds.max_retry_after_us"));
        var rules = new Balancer.Rules(pairs.number("invariants.cold_from"), pairs.whole("invariants.cold_us"),
                pairs.number("invariants.fall_multiple"), pairs.whole("invariants.fall_us"),
                pairs.whole("invariants.must_ask_in_us"),
                pairs.has("invariants.full_unproven") && pairs.flag("invariants.full_unproven"));
        return new Balancer.Settings((int) pairs.whole("balancers"), (int) pairs.whole("rank"), pairs.text("locality"),
                pairs.whole("quantum_us"), classes, tenants,
                tenantCount > 0 ? pairs.number("over_share_worth") : 1,
                pairs.has("extra.warm_keys") && pairs.flag("extra.warm_keys"), limits, rules, up.whole("prng"));
    }

    /** Reads an event that fits on one line, or returns null for one that the module has no use for. */
    static Balancer.Event event(String name, Fields in) {
        switch (name) {
            case "incoming":
                return new Balancer.Arrival(in.text("op_id"), in.text("kind"), in.optional("user_group"),
                        in.optional("path_key"), in.whole("patience_left_us"), in.flag("repeat"));
            case "completed":
                return new Balancer.AttemptEnded(in.text("op_id"), in.small("go"), in.text("backend"),
                        word(in, "how", OUTCOMES), in.whole("cost_time_us"), in.flag("last"));
            case "deadline_hit":
                return new Balancer.TimerFired(in.text("ctx"));
            case "hangup":
                return new Balancer.ClientGone(in.text("op_id"));
            case "flowing":
                return new Balancer.StreamStarted(in.text("op_id"), in.small("go"));
            case "probed":
                return new Balancer.ProbeEnded(in.text("backend"), word(in, "how", OUTCOMES),
                        in.whole("cost_time_us"));
            case "inbox":
                return null;
            default:
                throw new WireException("unknown event '" + name + "'");
        }
    }

    static Balancer.ListKind listKind(Fields in) {
        return word(in, "form", LISTS);
    }

    /** Reads one {@code entry} line of a list. */
    static Balancer.Backend backend(Fields in) {
        if (!in.name().equals("entry")) {
            throw new WireException("expected 'entry', found '" + in.name() + "'");
        }
        return new Balancer.Backend(in.text("backend"), word(in, "stage_state", STATES), in.optional("machine"),
                in.optional("zone"), (int) in.whole("group", 0), in.whole("last_start_us", 0),
                in.number("capacity_hint", 1));
    }

    /** Appends the line of an action. */
    static void write(StringBuilder out, int who, Balancer.Action action) {
        if (action instanceof Balancer.Send a) {
            head(out, "relay", who).append(" op_id=").append(a.id()).append(" backend=").append(a.backend())
                    .append(" max_wait_us=").append(a.timeoutUs());
        } else if (action instanceof Balancer.SetTimer a) {
            head(out, "arm", who).append(" fire_at_us=").append(a.atUs()).append(" ctx=").append(a.token());
        } else if (action instanceof Balancer.Refuse a) {
            head(out, "not_now", who).append(" op_id=").append(a.id());
            if (a.retryAfterUs() > 0) {
                out.append(" not_before_for_us=").append(a.retryAfterUs());
            }
        } else if (action instanceof Balancer.Fail a) {
            head(out, "finish_error", who).append(" op_id=").append(a.id());
        } else if (action instanceof Balancer.Cancel a) {
            head(out, "retract", who).append(" op_id=").append(a.id()).append(" go=").append(a.attempt());
        } else if (action instanceof Balancer.Release a) {
            head(out, "release", who).append(" backend=").append(a.backend());
        } else if (action instanceof Balancer.Probe a) {
            head(out, "sound_out", who).append(" backend=").append(a.backend());
        } else if (action instanceof Balancer.Watch a) {
            head(out, "observe", who).append(" enable=").append(a.on() ? 1 : 0);
        } else if (action instanceof Balancer.Fetch) {
            head(out, "pull", who);
        } else if (action instanceof Balancer.Log a) {
            head(out, "print", who).append(" message=").append(oneLine(a.text()));
        } else {
            throw new IllegalStateException("no line for " + action);
        }
        out.append('\n');
    }

    static StringBuilder head(StringBuilder out, String name, int who) {
        return out.append(name).append(" who=").append(who);
    }

    static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }

    private static <T> T word(Fields in, String key, Map<String, T> words) {
        String value = in.text(key);
        T meaning = words.get(value);
        if (meaning == null) {
            throw new WireException(in.name() + ": unknown value '" + value + "' in '" + key + "'");
        }
        return meaning;
    }

    /** The settings of an {@code up} line by their path. */
    private static final class Pairs {
        private final Map<String, String> values = new HashMap<>();

        Pairs(Fields up) {
            for (int i = 0; i < up.size(); i++) {
                values.put(up.key(i), up.value(i));
            }
        }

        boolean has(String path) {
            return values.containsKey(path);
        }

        String text(String path) {
            String value = values.get(path);
            if (value == null || value.isEmpty()) {
                throw new WireException("up: missing setting '" + path + "'");
            }
            return value;
        }

        long whole(String path) {
            double value = number(path);
            if (value != Math.rint(value)) {
                throw new WireException("up: bad number '" + text(path) + "' in setting '" + path + "'");
            }
            return (long) value;
        }

        double number(String path) {
            try {
                double value = Double.parseDouble(text(path));
                if (Double.isFinite(value)) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // told below
            }
            throw new WireException("up: bad number '" + text(path) + "' in setting '" + path + "'");
        }

        boolean flag(String path) {
            return word(path, Map.of("true", true, "1", true, "false", false, "0", false));
        }

        <T> T word(String path, Map<String, T> words) {
            T meaning = words.get(text(path));
            if (meaning == null) {
                throw new WireException("up: unknown value '" + text(path) + "' in setting '" + path + "'");
            }
            return meaning;
        }
    }
}
