package grebehoist.sim;

import beechfall.Balancer;
import grebehoist.config.SettingsReader;
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

    private Codec() {}

    /** Reads the settings of an {@code up} line. */
    static Balancer.Settings settings(Fields up) {
        var values = new HashMap<String, String>();
        for (int i = 0; i < up.size(); i++) {
            values.put(up.key(i), up.value(i));
        }
        return SettingsReader.read(values, up.whole("prng"));
    }

    /** Reads an event that fits on one line, or returns null for one that the module has no use for. */
    static Balancer.Event event(String name, Fields in) {
        switch (name) {
            case "incoming":
                return new Balancer.Arrival(
                        in.text("op_id"),
                        in.text("kind"),
                        in.optional("user_group"),
                        in.optional("path_key"),
                        in.whole("patience_left_us"),
                        in.flag("repeat"));
            case "completed":
                return new Balancer.AttemptEnded(
                        in.text("op_id"),
                        in.small("go"),
                        in.text("backend"),
                        word(in, "how", OUTCOMES),
                        in.whole("cost_time_us"),
                        in.flag("last"));
            case "deadline_hit":
                return new Balancer.TimerFired(in.text("ctx"));
            case "hangup":
                return new Balancer.ClientGone(in.text("op_id"));
            case "flowing":
                return new Balancer.StreamStarted(in.text("op_id"), in.small("go"));
            case "probed":
                return new Balancer.ProbeEnded(in.text("backend"), word(in, "how", OUTCOMES), in.whole("cost_time_us"));
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
        return new Balancer.Backend(
                in.text("backend"),
                word(in, "stage_state", STATES),
                in.optional("machine"),
                in.optional("zone"),
                (int) in.whole("group", 0),
                in.whole("last_start_us", 0),
                in.number("capacity_hint", 1));
    }

    /** Appends the line of an action. */
    static void write(StringBuilder out, int who, Balancer.Action action) {
        if (action instanceof Balancer.Send a) {
            head(out, "relay", who)
                    .append(" op_id=")
                    .append(a.id())
                    .append(" backend=")
                    .append(a.backend())
                    .append(" max_wait_us=")
                    .append(a.timeoutUs());
        } else if (action instanceof Balancer.SetTimer a) {
            head(out, "arm", who)
                    .append(" fire_at_us=")
                    .append(a.atUs())
                    .append(" ctx=")
                    .append(a.token());
        } else if (action instanceof Balancer.Refuse a) {
            head(out, "not_now", who).append(" op_id=").append(a.id());
            if (a.retryAfterUs() > 0) {
                out.append(" not_before_for_us=").append(a.retryAfterUs());
            }
        } else if (action instanceof Balancer.Fail a) {
            head(out, "finish_error", who).append(" op_id=").append(a.id());
        } else if (action instanceof Balancer.Cancel a) {
            head(out, "retract", who)
                    .append(" op_id=")
                    .append(a.id())
                    .append(" go=")
                    .append(a.attempt());
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
}
