package grebehoist.fleet.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What one holder keeps of a scope: what was taken, what may have been, and what it has promised. */
final class Ledger {
    /** A change that was taken lately, and when this holder learnt of it. */
    record Logged(long version, long content, long atUs) {}

    private record Vote(long version, long epoch) {}

    private static final int MOST_LOGGED = 128;

    private final String scope;
    private final long id;
    private final List<Integer> holders;
    private final int self;
    private final Rules rules;
    private final DistributionTerms terms;
    private Book book;
    /** All of it got anew from a fellow, as removals are missing; null where that isn't so. */
    private Book staging;

    private long promised;
    private Item pending;
    private long pendingEpoch;
    /** Whether this holder has accepted the pending change itself, and not only heard of it when it started. */
    private boolean accepted;

    private final Map<Integer, Vote> votes = new HashMap<>(4);
    private final Deque<Logged> log = new ArrayDeque<>(4);
    private boolean counted;
    /** What each fellow has listed: its head. */
    private final Map<Integer, Long> listed = new HashMap<>(4);
    /** When something was last got from a fellow. */
    private long grownUs;

    Ledger(String scope, List<Integer> holders, int self, Rules rules, DistributionTerms terms) {
        this.scope = scope;
        this.id = Ids.of(scope);
        this.holders = holders;
        this.self = self;
        this.rules = rules;
        this.terms = terms;
        this.book = new Book(scope, rules);
    }

    String scope() {
        return scope;
    }

    long id() {
        return id;
    }

    List<Integer> holders() {
        return holders;
    }

    Book book() {
        return book;
    }

    long head() {
        return book.head();
    }

    int hash() {
        return book.replica().hash();
    }

    long promised() {
        return promised;
    }

    Item pending() {
        return pending;
    }

    long pendingEpoch() {
        return pendingEpoch;
    }

    boolean accepted() {
        return accepted && pending != null;
    }

    /** Returns whether this is one of the scope's holders, and not only on its way to be. */
    boolean counted() {
        return counted;
    }

    Iterable<Logged> log() {
        return log;
    }

    long grownUs() {
        return grownUs;
    }

    // What was taken

    /** Takes a change that a fellow holder knows to be taken, in turn. */
    void take(long nowUs, Link link, Replica.Sink sink) {
        Book to = staging != null ? staging : book;
        long before = to.head();
        to.take(
                nowUs,
                link,
                terms.mostTombstones(),
                to == book
                        ? (item, old) -> {
                            log(nowUs, item);
                            sink.applied(item, old);
                        }
                        : (item, old) -> {});
        grownUs = to.head() > before ? nowUs : grownUs;
        settle();
    }

    private void log(long nowUs, Item item) {
        log.addLast(new Logged(item.version(), Ids.content(item), nowUs));
        if (log.size() > MOST_LOGGED) {
            log.removeFirst();
        }
    }

    /** The next change is taken. */
    private void commit(long nowUs, Replica.Sink sink) {
        book.take(nowUs, Link.of(book.head(), pending), terms.mostTombstones(), (item, old) -> {
            log(nowUs, item);
            sink.applied(item, old);
        });
        settle();
    }

    private void settle() {
        if (pending != null && pending.version() <= head()) {
            pending = null;
            pendingEpoch = 0;
            accepted = false;
        }
        votes.values().removeIf(v -> v.version() <= head());
    }

    /** A scope begins with this version. */
    void begin(long base) {
        book.take(0, Link.nothing(0, base), terms.mostTombstones(), (item, old) -> {});
    }

    /** What a fellow's copy is. */
    void headOf(long nowUs, Message.Head h, Replica.Sink sink) {
        if (staging == null && counted && head() > 0 && head() < h.floor()) {
            staging = new Book(scope, rules);
        }
        Book to = staging != null ? staging : book;
        if (staging != null || !counted) {
            to.floor(Math.min(h.floor(), h.head()));
        }
        if (h.last() < h.head()) {
            take(nowUs, Link.nothing(h.last(), h.head()), sink);
        }
        if (staging != null
                && staging.head() >= h.head()
                && staging.head() > head()
                && staging.replica().hash() == h.hash()) {
            book = staging;
            staging = null;
            log.clear();
            settle();
        }
    }

    /** Returns what this holder has to tell a fellow. */
    Message.Have have() {
        Replica r = (staging != null ? staging : book).replica();
        return new Message.Have(id, r.have(), r.hash(), staging != null || !counted, r.gaps());
    }

    /** Returns whether a version is this change: null where it is not known any more. */
    Boolean is(Item change) {
        Item at = book.at(change.version());
        if (at != null) {
            return Ids.same(at, change);
        }
        for (Logged l : log) {
            if (l.version() == change.version()) {
                return l.content() == Ids.content(change);
            }
        }
        return null;
    }

    // What may be taken

    /** Promises that nothing older changes the scope. */
    void promise(long epoch) {
        promised = Math.max(promised, epoch);
    }

    /** Accepts a change. */
    void accept(long nowUs, long epoch, Item change, Replica.Sink sink) {
        promise(epoch);
        Item kept = rules.kept(change);
        if (kept != null) {
            pending = kept;
            pendingEpoch = epoch;
            accepted = true;
            count(nowUs, sink);
        }
    }

    /** A fellow has accepted a change. */
    void vote(long nowUs, int fellow, long version, long epoch, Replica.Sink sink) {
        if (version > head()) {
            votes.put(fellow, new Vote(version, epoch));
            count(nowUs, sink);
        }
    }

    /** A fellow has lost its memory: what it has accepted is worth nothing any more. */
    void forgetVote(int fellow) {
        votes.remove(fellow);
    }

    private void count(long nowUs, Replica.Sink sink) {
        if (pending == null || !counted || pending.version() != head() + 1) {
            return;
        }
        var vote = new Vote(pending.version(), pendingEpoch);
        int holding = accepted ? 1 : 0;
        for (Vote v : votes.values()) {
            holding += v.equals(vote) ? 1 : 0;
        }
        if (holding >= rules.enough(holders.size())) {
            commit(nowUs, sink);
        }
    }

    /** The writer says that the pending change was taken. */
    void taken(long nowUs, long epoch, long version, Replica.Sink sink) {
        if (counted
                && pending != null
                && pending.version() == version
                && pendingEpoch == epoch
                && version == head() + 1) {
            commit(nowUs, sink);
        }
    }

    // What is not known yet

    /** A scope that this machine has always known all of: it counts. */
    Ledger count() {
        counted = true;
        return this;
    }

    /** A fellow tells what it has of the scope, as this machine has started. */
    void listed(int fellow, Message.Listed l, Message.Pending change) {
        if (counted) {
            return;
        }
        listed.put(fellow, l.head());
        promise(l.promised());
        if (change != null && change.link().version() > head()) {
            Item item = change.link().item(scope);
            boolean newer = pending == null
                    || item.version() > pending.version()
                    || item.version() == pending.version() && change.epoch() > pendingEpoch;
            if (newer) {
                pending = item;
                pendingEpoch = change.epoch();
                accepted = false;
            }
        }
    }

    /** A fellow has started anew: what it has told is to be asked again. */
    void unlisted(int fellow) {
        listed.remove(fellow);
    }

    /** Becomes one of the scope's holders where all is known; returns whether it does now. */
    boolean tryToCount(boolean allListed) {
        long most = listed.values().stream().mapToLong(Long::longValue).max().orElse(0);
        if (counted || !rules.counts(allListed, head(), most)) {
            return false;
        }
        counted = true;
        settle();
        // Where a later epoch was promised, the change is only told of: its writer has to bring it again.
        accepted = pending != null && pendingEpoch >= promised;
        if (pending != null) {
            promise(pendingEpoch);
        }
        return true;
    }

    /** Returns the fellow to get it from, as long as it does not count: another one each time that nothing has come. */
    int fellowToFillFrom(long nowUs) {
        List<Integer> fellows = holders.stream().filter(h -> h != self).toList();
        long turn = (nowUs - grownUs) / (2 * terms.mostRetryUs());
        return fellows.get((int) Math.floorMod(id + turn, (long) fellows.size()));
    }
}
