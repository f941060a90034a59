package grebehoist.fleet.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;

/**
 * One that changes a scope. Each call to this returns what is to be asked of the holders now; whoever carries the calls gives back what was
 * answered, and tells where nothing was. One change at a time: the next one may begin when {@link #result} is there.
 *
 * <p>It is the proposer of Paxos (Lamport, 2001) for each version of a scope in turn, the holders are the acceptors: the promise of a majority is got once
 * for all versions, until another writer comes. Holders have no disk; why no answer of a former life counts, {@link Lives} tells.
 */
public final class Writer {
    /** What became of a change. */
    public sealed interface Result {}

    /** Two holders have it: it is lost only if both lose their memory together. */
    public record Taken(long version) implements Result {}

    /** It is not in force and never will be. */
    public record Refused(String why) implements Result {}

    /** It may come into force, or not. {@link #retry} finds out, or makes it so. */
    public record Unknown(String why) implements Result {}

    private enum Step {
        IDLE,
        CREATING,
        OPENING,
        ADOPTING,
        OFFERING,
        ASKING
    }

    /** Two different changes are never offered in one epoch for one version: each try that is not sure has a new one, so many at most. */
    private static final int TRIES = 4_096;

    private final String scope;
    private final List<Integer> holders;
    private final Rules rules;
    private final long first;
    private long epoch;
    private Step step = Step.IDLE;
    private Result result;
    /** A majority has promised this epoch, and {@code head} is taken. */
    private boolean open;

    private long head;
    private long base;
    private int kind;
    private String key;
    private byte[] value;
    /** What is being offered. */
    private Item offered;
    /** The change itself, once it was offered to anybody; its number stays. */
    private Item own;
    /** Somebody may have it. */
    private boolean doubt;

    private final Set<Integer> waiting = new HashSet<>();
    private Set<Call> calls = new HashSet<>();
    private final Map<Integer, Answer.Opened> opened = new HashMap<>();
    private final Map<Integer, Answer.Held> held = new HashMap<>();
    private final List<String> refusals = new ArrayList<>();
    private int silent;

    /**
     * Makes one.
     *
     * @param epoch greater than that of any writer before, and no other writer's: milliseconds of the wall clock
     */
    public Writer(Layout layout, String scope, long epoch) {
        this(layout, scope, epoch, new Rules());
    }

    /** As the other, with other rules: a test puts some in their place. */
    public Writer(Layout layout, String scope, long epoch, Rules rules) {
        if (epoch < 0 || epoch >= Item.MOST_VERSION / TRIES) {
            throw new IllegalArgumentException("epoch " + epoch + " is out of bounds");
        }
        this.scope = scope;
        this.holders = layout.holders(scope);
        this.first = epoch * TRIES;
        this.epoch = first;
        this.rules = rules;
    }

    /** Creates the scope, or finds that it is there; its first change has the version {@code from + 1}. */
    public List<Call> create(long from) {
        begin();
        base = from;
        String flaw = Call.Create.flaw(scope, from);
        return flaw != null ? end(new Refused(flaw)) : creating();
    }

    /**
     * Begins a change.
     *
     * @param to what the item has from now on; null to remove it
     */
    public List<Call> change(int ofKind, String ofKey, byte[] to) {
        begin();
        String flaw = Item.flaw(ofKind, scope, ofKey, to, 1);
        if (flaw != null) {
            boolean was = open;
            end(new Refused(flaw));
            open = was;
            return List.of();
        }
        kind = ofKind;
        key = ofKey;
        value = to == null ? null : to.clone();
        return open ? offering() : opening();
    }

    private void begin() {
        if (step != Step.IDLE) {
            throw new IllegalStateException("a change of " + scope + " is under way");
        }
        if (result instanceof Unknown) {
            open = false;
        }
        result = null;
        own = null;
        key = null;
        doubt = false;
    }

    /** Begins the same again, with the same number, after a result that is {@link Unknown}; some time later is best. */
    public List<Call> retry() {
        if (!(result instanceof Unknown)) {
            throw new IllegalStateException("nothing in " + scope + " is unknown");
        }
        result = null;
        open = false;
        return key == null ? creating() : opening();
    }

    /** Returns what became of it; null as long as that is not known. */
    public Result result() {
        return result;
    }

    // Steps

    private List<Call> ask(Step next, IntFunction<Call> call) {
        step = next;
        waiting.clear();
        waiting.addAll(holders);
        opened.clear();
        held.clear();
        refusals.clear();
        silent = 0;
        var now = new ArrayList<Call>();
        holders.forEach(h -> now.add(call.apply(h)));
        calls = new HashSet<>(now);
        return now;
    }

    private List<Call> creating() {
        return ask(Step.CREATING, m -> new Call.Create(m, scope, base));
    }

    private List<Call> opening() {
        if (epoch + 1 >= first + TRIES) {
            return end(new Unknown("too many tries in one epoch"));
        }
        epoch++;
        return ask(Step.OPENING, m -> new Call.Open(m, scope, epoch));
    }

    private List<Call> offering() {
        offered = own != null ? own : new Item(kind, scope, key, value, head + 1);
        own = offered;
        return ask(Step.OFFERING, m -> new Call.Offer(m, epoch, offered));
    }

    /** Without the promise of a majority, or with another change in its place, it can only be asked what became of it. */
    private List<Call> asking() {
        offered = own;
        return ask(Step.ASKING, m -> new Call.Offer(m, 0, offered));
    }

    /** A call was answered. */
    public List<Call> answered(Call call, Answer answer) {
        if (!calls.contains(call) || !waiting.remove(call.machine())) {
            return List.of();
        }
        if (answer instanceof Answer.Opened o && step == Step.OPENING) {
            opened.put(call.machine(), o);
        } else if (answer instanceof Answer.Held h && step != Step.OPENING) {
            held.put(call.machine(), h);
        } else if (answer instanceof Answer.Refusal r) {
            refusals.add(r.why());
            if (r.never() && (step == Step.OFFERING || step == Step.ASKING)) {
                return end(new Refused(r.why()));
            }
        } else {
            silent++;
        }
        return next();
    }

    /** A call was not answered, and whether it has come is not known. */
    public List<Call> gaveUp(Call call) {
        if (!calls.contains(call) || !waiting.remove(call.machine())) {
            return List.of();
        }
        silent++;
        return next();
    }

    private List<Call> next() {
        return switch (step) {
            case IDLE -> List.of();
            case CREATING -> created();
            case OPENING -> opened();
            case ADOPTING, OFFERING, ASKING -> offered();
        };
    }

    private List<Call> created() {
        if (together(lives(held, Answer.Held::lives))) {
            head = held.values().stream().mapToLong(Answer.Held::version).max().orElse(base);
            return end(new Taken(head));
        }
        if (!waiting.isEmpty()) {
            return List.of();
        }
        return end(held.isEmpty() && silent == 0 ? new Refused(why()) : new Unknown(why()));
    }

    private List<Call> opened() {
        if (!together(lives(opened, Answer.Opened::lives))) {
            if (!waiting.isEmpty()) {
                return List.of();
            }
            if (own != null) {
                // Another writer may have come, and brought it into force: a holder that knows tells.
                return asking();
            }
            return end(new Refused(why()));
        }
        open = true;
        head = opened.values().stream().mapToLong(Answer.Opened::head).max().orElse(0);
        if (own != null && own.version() <= head) {
            return asking();
        }
        Answer.Opened adopted = rules.toAdopt(opened.values(), head);
        if (adopted == null || own != null && Ids.same(own, adopted.pending())) {
            return own != null && own.version() > head + 1
                    ? end(new Unknown("the change before is not known here"))
                    : offering();
        }
        offered = adopted.pending();
        return ask(Step.ADOPTING, m -> new Call.Offer(m, epoch, offered));
    }

    private List<Call> offered() {
        boolean known = held.values().stream().anyMatch(Answer.Held::taken);
        if (known || step != Step.ASKING && together(lives(held, Answer.Held::lives))) {
            return taken();
        }
        if (!waiting.isEmpty()) {
            return List.of();
        }
        open = false;
        if (step == Step.ADOPTING) {
            return end(doubt ? new Unknown(why()) : new Refused("a change before it is not settled: " + why()));
        }
        doubt |= !held.isEmpty() || silent > 0;
        return end(doubt ? new Unknown(why()) : new Refused(why()));
    }

    private List<Call> taken() {
        long version = offered.version();
        List<Call> tell = new ArrayList<>();
        if (step != Step.ASKING) {
            holders.forEach(h -> tell.add(new Call.Taken(h, scope, epoch, version)));
        }
        head = Math.max(head, version);
        if (step == Step.ADOPTING) {
            if (own != null && own.version() == version) {
                // Another change has its place for good; it gets another one.
                own = null;
                doubt = false;
            }
            tell.addAll(offering());
            return tell;
        }
        end(new Taken(version));
        return tell;
    }

    private List<Call> end(Result with) {
        step = Step.IDLE;
        result = with;
        open &= with instanceof Taken;
        calls = Set.of();
        return List.of();
    }

    private String why() {
        var all = new ArrayList<>(refusals);
        if (silent > 0) {
            all.add(silent + " of " + holders.size() + " holders did not answer");
        }
        if (all.isEmpty()) {
            all.add("holders of " + scope + " have started anew meanwhile");
        }
        return String.join("; ", all);
    }

    private interface OfLives<T> {
        Lives of(T answer);
    }

    private static <T> Map<Integer, Lives> lives(Map<Integer, T> answers, OfLives<T> of) {
        var all = new HashMap<Integer, Lives>();
        answers.forEach((m, a) -> all.put(m, of.of(a)));
        return all;
    }

    /** Returns whether enough of these count together. */
    private boolean together(Map<Integer, Lives> answers) {
        int enough = rules.enough(holders.size());
        for (int a : answers.keySet()) {
            long with = answers.keySet().stream()
                    .filter(b -> b == a || rules.together(a, answers.get(a), b, answers.get(b)))
                    .count();
            if (with >= enough) {
                return true;
            }
        }
        return false;
    }
}
