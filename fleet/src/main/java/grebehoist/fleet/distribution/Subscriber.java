package grebehoist.fleet.distribution;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** What a proxy has of the scopes that it subscribes to. Got from a {@link DistributionNode}. */
public final class Subscriber {
    /** The most scopes that a proxy subscribes to. */
    public static final int MOST_SCOPES = 4_096;

    private final int self;
    private final Layout layout;
    private final DistributionTerms terms;
    private final RandomGenerator random;
    private final Rules rules;
    private final Outbox out;
    private final Copy.News news;
    private final Map<String, Copy> copies = new TreeMap<>();
    /** By what scopes are placed by. */
    private final Map<String, SourceGroup> groups = new LinkedHashMap<>();

    private final SourceGroup.Proxy proxy = new SourceGroup.Proxy() {
        private long questions;

        @Override
        public long nextQuestion() {
            return ++questions;
        }

        @Override
        public int sharers(long nowUs) {
            return Math.min(Layout.MOST, (int) Math.max(
                    1, groups.values().stream().filter(g -> g.gets(nowUs)).count()));
        }
    };

    Subscriber(DistributionNode.Setup setup, List<String> scopes, Rules rules, Outbox out, Copy.News news) {
        this.self = setup.number();
        this.layout = setup.layout();
        this.terms = setup.terms();
        this.random = setup.random();
        this.rules = rules;
        this.out = out;
        this.news = news;
        for (String scope : scopes) {
            String flaw = subscribe(scope);
            if (flaw != null) {
                throw new IllegalArgumentException(flaw);
            }
        }
    }

    /** Subscribes to a scope, from the next tick on; returns why that can't be, or null. */
    public String subscribe(String scope) {
        String flaw = Item.flaw(scope);
        if (flaw != null || copies.containsKey(scope)) {
            return flaw;
        }
        if (copies.size() >= MOST_SCOPES) {
            return "scope " + scope + " is one too many: " + MOST_SCOPES + " at most";
        }
        var copy = new Copy(scope, rules, news);
        for (Copy other : copies.values()) {
            if (other.id() == copy.id()) {
                return "scope " + scope + " goes by the same number as " + other.scope();
            }
        }
        copies.put(scope, copy);
        groups.computeIfAbsent(
                        Layout.placement(scope),
                        p -> new SourceGroup(layout.sources(scope, self), terms, random, out, proxy))
                .add(copy);
        return null;
    }

    /** Forgets a scope; what was in force of it is not told as removed. */
    public void unsubscribe(String scope) {
        Copy copy = copies.remove(scope);
        if (copy != null) {
            SourceGroup group = groups.get(Layout.placement(scope));
            group.remove(copy);
            if (group.isEmpty()) {
                groups.remove(Layout.placement(scope));
            }
        }
    }

    void start(long nowUs) {
        groups.values().forEach(g -> g.start(nowUs));
    }

    void tick(long nowUs) {
        groups.values().forEach(g -> g.tick(nowUs));
    }

    void received(long nowUs, int from, Message message) {
        if (message instanceof Message.Seen seen) {
            groups.values().stream().filter(g -> g.source() == from).forEach(g -> g.seen(nowUs, seen));
            return;
        }
        long id = message instanceof Message.Changes c
                ? c.scope()
                : message instanceof Message.Head h ? h.scope() : message instanceof Message.Unheld u ? u.scope() : -1;
        for (SourceGroup g : groups.values()) {
            Copy copy = g.copy(id);
            if (copy != null && g.source() == from) {
                g.received(nowUs, copy, message);
            } else if (copy != null && message instanceof Message.Changes) {
                // That it was left has not come there.
                out.say(from, new Message.Left(id));
            }
        }
    }

    /** Returns the scopes. */
    public List<String> scopes() {
        return List.copyOf(copies.keySet());
    }

    /** Returns the items of a scope that are in force here, by key. */
    public List<Item> items(String scope) {
        Copy copy = copies.get(scope);
        return copy == null ? List.of() : copy.replica().sorted();
    }

    /** Returns the item in force under a key, or null. */
    public Item item(String scope, String key) {
        Copy copy = copies.get(scope);
        return copy == null ? null : copy.replica().item(key);
    }

    /** Returns up to which version all of a scope is in force here; 0 before anything has come. */
    public long version(String scope) {
        Copy copy = copies.get(scope);
        return copy == null ? 0 : copy.replica().have();
    }

    /** Returns whether a scope is being got from its beginning: sent faster than changes are. */
    public boolean filling(String scope) {
        Copy copy = copies.get(scope);
        return copy != null && copy.filling();
    }

    /** Returns how long ago the scope's source last confirmed that this is all there is, in microseconds; -1 for never. */
    public long ageUs(String scope, long nowUs) {
        Copy copy = copies.get(scope);
        return copy == null || copy.confirmedUs() < 0 ? -1 : nowUs - copy.confirmedUs();
    }

    /** Returns the machine that the scope is got from; -1 where it is not subscribed to. */
    public int source(String scope) {
        return copies.containsKey(scope) ? groups.get(Layout.placement(scope)).source() : -1;
    }
}
