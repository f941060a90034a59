package grebehoist.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges a history of tasks, in any order of its lines. It knows no protocol: receivers outside the fleet have written what took effect when, the
 * referee has written who was stopped and killed, and holders what they held. docs/trial.md has the fields.
 */
public final class LeaseChecker {
    private static final int MOST_FINDINGS = 50;
    /** Whoever was stopped so long before its effect began may have looked at its lease before it was stopped. */
    private static final long STOPPED_US = 3_000_000;

    private record Effect(
            String task, boolean fenced, String holder, long token, long run, long beganUs, long endedUs) {}

    private record Holding(String holder, long token, long fromUs) {}

    private record Stop(String who, long fromUs, long toUs) {}

    private record Death(String who, long atUs) {}

    /**
     * What a history shows.
     *
     * @param findings what must not be
     * @param explained effects of a timed task that overlap, where the later holder, or the earlier, had been stopped right before
     * @param takeoversUs from each death of a holder to the next holding of its task, sorted
     */
    public record Judgement(
            List<String> findings,
            List<String> explained,
            int effects,
            int refused,
            int holdings,
            List<Long> takeoversUs) {
        @Override
        public String toString() {
            return effects + " effects, " + refused + " refused by receivers, " + holdings + " holdings, "
                    + explained.size()
                    + " overlaps of timed tasks explained by a stop, "
                    + (takeoversUs.isEmpty()
                            ? "no takeovers"
                            : String.format(
                                    Locale.ROOT,
                                    "%d takeovers, median %.2f s, worst %.2f s",
                                    takeoversUs.size(),
                                    takeoversUs.get(takeoversUs.size() / 2) / 1e6,
                                    takeoversUs.get(takeoversUs.size() - 1) / 1e6));
        }
    }

    private final Map<String, List<Effect>> effects = new TreeMap<>();
    private final Map<String, List<Holding>> holdings = new TreeMap<>();
    private final Map<String, Long> stoppedAt = new TreeMap<>();
    private final List<Stop> stops = new ArrayList<>();
    private final List<Death> deaths = new ArrayList<>();
    private int refused;

    /** Takes a line in; what is about something else is left alone. */
    public void line(JsonNode line) {
        switch (line.path("what").asText()) {
            case "effect" -> {
                if (line.path("accepted").asBoolean()) {
                    String task = line.path("task").asText();
                    effects.computeIfAbsent(task, t -> new ArrayList<>())
                            .add(new Effect(
                                    task,
                                    line.path("class").asText().equals("fenced"),
                                    line.path("holder").asText(),
                                    line.path("token").asLong(),
                                    line.path("run").asLong(),
                                    line.path("began_us").asLong(),
                                    line.path("ended_us").asLong()));
                } else {
                    refused++;
                }
            }
            case "holding" ->
                holdings.computeIfAbsent(line.path("task").asText(), t -> new ArrayList<>())
                        .add(new Holding(
                                line.path("holder").asText(),
                                line.path("token").asLong(),
                                line.path("from_us").asLong()));
            case "process" ->
                process(
                        line.path("who").asText(),
                        line.path("state").asText(),
                        line.path("t_us").asLong());
            default -> {}
        }
    }

    private void process(String who, String state, long atUs) {
        switch (state) {
            case "stopped" -> stoppedAt.put(who, atUs);
            case "continued" -> stops.add(new Stop(who, stoppedAt.getOrDefault(who, atUs), atUs));
            case "killed" -> deaths.add(new Death(who, atUs));
            default -> {}
        }
    }

    /** Judges what has been taken in. */
    public Judgement judge() {
        var findings = new ArrayList<String>();
        var explained = new ArrayList<String>();
        effects.values().forEach(of -> judge(of, findings, explained));
        holdings.forEach((task, of) -> {
            of.sort(Comparator.comparingLong(Holding::token));
            for (int i = 1; i < of.size(); i++) {
                if (of.get(i).token() == of.get(i - 1).token()) {
                    findings.add("token: " + task + " was held twice with token "
                            + of.get(i).token() + ", by " + of.get(i - 1).holder() + " and "
                            + of.get(i).holder());
                } else if (of.get(i).fromUs() < of.get(i - 1).fromUs()) {
                    findings.add("token: " + task + " was held with token "
                            + of.get(i).token() + " by " + of.get(i).holder() + " before token "
                            + of.get(i - 1).token() + " by " + of.get(i - 1).holder());
                }
            }
        });
        return new Judgement(
                findings.subList(0, Math.min(findings.size(), MOST_FINDINGS)),
                explained,
                effects.values().stream().mapToInt(List::size).sum(),
                refused,
                holdings.values().stream().mapToInt(List::size).sum(),
                takeovers());
    }

    private void judge(List<Effect> of, List<String> findings, List<String> explained) {
        of.sort(Comparator.comparingLong(Effect::beganUs));
        Effect latest = null;
        for (Effect e : of) {
            if (latest != null
                    && e.beganUs() < latest.endedUs()
                    && (!e.holder().equals(latest.holder()) || e.token() != latest.token())) {
                String text = "overlap: " + told(latest) + " and " + told(e);
                if (!e.fenced() && (stoppedBefore(e) || stoppedBefore(latest))) {
                    explained.add(text);
                } else {
                    findings.add(text);
                }
            }
            if (latest != null && e.fenced() && e.token() < latest.token()) {
                findings.add("token: " + told(e) + " after " + told(latest));
            }
            if (latest != null && e.fenced() && e.run() <= latest.run()) {
                findings.add("twice: " + told(e) + " after " + told(latest));
            }
            latest = latest == null || e.endedUs() > latest.endedUs() ? e : latest;
        }
    }

    private boolean stoppedBefore(Effect e) {
        return stops.stream()
                        .anyMatch(s -> s.who().equals(e.holder())
                                && s.fromUs() <= e.endedUs()
                                && s.toUs() > e.beganUs() - STOPPED_US)
                || stoppedAt.containsKey(e.holder())
                        && stops.stream()
                                .noneMatch(s -> s.who().equals(e.holder()) && s.fromUs() == stoppedAt.get(e.holder()))
                        && stoppedAt.get(e.holder()) <= e.endedUs();
    }

    private static String told(Effect e) {
        return String.format(
                Locale.ROOT,
                "run %d of %s by %s with token %d from %.3f to %.3f s",
                e.run(),
                e.task(),
                e.holder(),
                e.token(),
                e.beganUs() / 1e6,
                e.endedUs() / 1e6);
    }

    /** From a death to the next holding, for what the dead one had held last of all. */
    private List<Long> takeovers() {
        var took = new ArrayList<Long>();
        for (Death d : deaths) {
            for (List<Holding> of : holdings.values()) {
                Holding last = of.stream()
                        .filter(h -> h.fromUs() <= d.atUs())
                        .max(Comparator.comparingLong(Holding::fromUs))
                        .orElse(null);
                if (last != null && last.holder().equals(d.who())) {
                    of.stream()
                            .filter(h -> h.fromUs() > d.atUs())
                            .mapToLong(Holding::fromUs)
                            .min()
                            .ifPresent(at -> took.add(at - d.atUs()));
                }
            }
        }
        took.sort(null);
        return took;
    }
}
