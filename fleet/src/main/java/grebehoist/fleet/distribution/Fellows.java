package grebehoist.fleet.distribution;

import grebehoist.fleet.wire.Post;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a control machine has to do with the others: it asks what they hold when it starts, since it has no disk, and compares what both hold from then
 * on. Before all of a scope's other holders have listed what they hold, and it has it too, it doesn't count as a holder: what was taken with its former
 * life's help is known to one of the others.
 */
final class Fellows {
    private static final long ASK_EVERY_US = 300_000;
    /** A page for each so many scopes in common, so that all come round in about ten seconds. */
    private static final int SCOPES_A_PAGE = 80;

    private static final int MOST_PAGES = 8;
    private static final int MOST_PENDING = 32;

    /** Another machine. */
    private static final class Fellow {
        private boolean heard;
        private String after = "";
        private long askUs;
        private final Map<Long, Message.Pending> pending = new HashMap<>();
        /** What is compared next, before all else. */
        private final Set<Ledger> hot = new LinkedHashSet<>();

        private String cursor = "";
        private final Set<Ledger> toAck = new LinkedHashSet<>();
    }

    private final int self;
    private final long life;
    private final Layout layout;
    private final DistributionTerms terms;
    private final Outbox out;
    private final TreeMap<String, Ledger> ledgers;
    private final Map<Integer, Fellow> fellows = new HashMap<>();
    private final Map<Integer, Long> lives = new HashMap<>();
    private final Set<Ledger> unfilled = new LinkedHashSet<>();
    private long repairUs;
    private long ackUs;

    Fellows(int self, long life, Layout layout, DistributionTerms terms, Outbox out, TreeMap<String, Ledger> ledgers) {
        this.self = self;
        this.life = life;
        this.layout = layout;
        this.terms = terms;
        this.out = out;
        this.ledgers = ledgers;
        lives.put(self, life);
        for (int m = 0; m < layout.machines().size(); m++) {
            if (m != self) {
                fellows.put(m, new Fellow());
            }
        }
    }

    int unheard() {
        return (int) fellows.values().stream().filter(f -> !f.heard).count();
    }

    /** Returns whether all of some holders have told what they hold. */
    boolean heard(List<Integer> holders) {
        return holders.stream().allMatch(h -> h == self || fellows.get(h).heard);
    }

    Lives lives(List<Integer> holders) {
        var of = new HashMap<Integer, Long>();
        for (int h : holders) {
            Long known = lives.get(h);
            if (known != null) {
                of.put(h, known);
            }
        }
        return new Lives(of);
    }

    /** Returns the life of this machine. */
    long life() {
        return life;
    }

    /** Returns whether a life of a fellow is the one heard of last. */
    boolean lives(int fellow, long of) {
        return lives.getOrDefault(fellow, 0L) == of;
    }

    /** A scope is to be compared soon, with all who hold it. */
    void hot(Ledger ledger) {
        for (int h : ledger.holders()) {
            if (h != self) {
                fellows.get(h).hot.add(ledger);
            }
        }
    }

    void hot(Ledger ledger, int fellow) {
        fellows.get(fellow).hot.add(ledger);
    }

    /** Something of a scope has come from a fellow, which is to be told soon. */
    void acknowledge(long nowUs, int fellow, Ledger ledger) {
        if (fellows.values().stream().allMatch(f -> f.toAck.isEmpty())) {
            ackUs = nowUs + terms.ackUs();
        }
        fellows.get(fellow).toAck.add(ledger);
    }

    void start(long nowUs) {
        repairUs = nowUs;
    }

    void tick(long nowUs) {
        fellows.forEach((number, f) -> {
            if (!f.heard && nowUs >= f.askUs) {
                f.askUs = nowUs + ASK_EVERY_US;
                out.say(number, new Message.ListAfter(life, f.after));
            }
        });
        if (nowUs >= ackUs) {
            fellows.forEach((number, f) -> {
                while (!f.toAck.isEmpty()) {
                    out.say(number, new Message.Digest(0, 1, page(f.toAck)));
                }
            });
        }
        if (nowUs >= repairUs) {
            repairUs = nowUs + terms.repairUs();
            for (Ledger ledger : unfilled) {
                hot(ledger, ledger.fellowToFillFrom(nowUs));
            }
            fellows.forEach(this::compare);
        }
    }

    private void compare(int number, Fellow f) {
        int inCommon = 0;
        var next = new ArrayList<Ledger>();
        for (Ledger ledger : ledgers.tailMap(f.cursor, false).values()) {
            inCommon += common(number, ledger, next);
        }
        for (Ledger ledger : ledgers.headMap(f.cursor, true).values()) {
            inCommon += common(number, ledger, next);
        }
        int pages = Math.min(MOST_PAGES, 1 + inCommon / SCOPES_A_PAGE);
        for (int page = 0; page < pages && !(f.hot.isEmpty() && next.isEmpty()); page++) {
            var of = new LinkedHashSet<>(f.hot);
            f.hot.clear();
            of.addAll(next);
            int all = of.size();
            List<Message.Have> haves = page(of);
            out.say(number, new Message.Digest(0, 1, haves));
            // What had no room stays in its turn.
            for (Ledger left : of) {
                if (!next.contains(left)) {
                    f.hot.add(left);
                }
            }
            next.removeIf(l -> !of.contains(l));
            if (haves.size() == all) {
                break;
            }
        }
        if (!next.isEmpty()) {
            f.cursor = ledgers.lowerKey(next.get(0).scope()) == null
                    ? ""
                    : ledgers.lowerKey(next.get(0).scope());
        }
    }

    private static int common(int number, Ledger ledger, List<Ledger> next) {
        if (!ledger.counted() || !ledger.holders().contains(number)) {
            return 0;
        }
        // More than are ever said at a time aren't looked at.
        if (next.size() < MOST_PAGES * 12) {
            next.add(ledger);
        }
        return 1;
    }

    /** Takes as many as one datagram has room for. */
    private static List<Message.Have> page(Set<Ledger> of) {
        var haves = new ArrayList<Message.Have>();
        int room = Post.ROOM - DistributionCodec.DIGEST_FRAME;
        for (var i = of.iterator(); i.hasNext(); ) {
            Message.Have have = i.next().have();
            room -= DistributionCodec.encode(have).length;
            if (room < 0) {
                break;
            }
            haves.add(have);
            i.remove();
        }
        return haves;
    }

    // Who has started

    /** A fellow asks what both hold. */
    void listAfter(int from, Message.ListAfter asked) {
        lived(from, asked.life());
        var listed = new ArrayList<Message.Listed>();
        var pending = new ArrayList<Ledger>();
        int room = Post.ROOM - DistributionCodec.LISTING_FRAME;
        boolean end = true;
        for (Ledger ledger : ledgers.tailMap(asked.after(), false).values()) {
            if (!ledger.holders().contains(from)) {
                continue;
            }
            Item change = ledger.pending();
            var entry = new Message.Listed(
                    ledger.scope(),
                    ledger.head(),
                    ledger.promised(),
                    change == null ? 0 : change.version(),
                    ledger.pendingEpoch());
            room -= DistributionCodec.encode(entry).length;
            if (room < 0) {
                end = false;
                break;
            }
            listed.add(entry);
            if (change != null) {
                pending.add(ledger);
            }
        }
        for (Ledger l : pending) {
            out.say(
                    from,
                    new Message.Pending(
                            l.id(), l.pendingEpoch(), Link.of(l.pending().version() - 1, l.pending())));
        }
        out.say(from, new Message.Listing(life, asked.after(), end, listed));
    }

    /** A fellow is known by a life; where it has lost its memory, what it has told is worth nothing any more. */
    private void lived(int from, long of) {
        Long before = lives.put(from, of);
        if (before != null && before == of) {
            return;
        }
        Fellow f = fellows.get(from);
        boolean again = false;
        for (Ledger ledger : ledgers.values()) {
            if (ledger.holders().contains(from)) {
                ledger.forgetVote(from);
                ledger.unlisted(from);
                again |= !ledger.counted();
            }
        }
        if (!f.heard || again) {
            f.heard = false;
            f.after = "";
            f.pending.clear();
        }
    }

    void pending(int from, Message.Pending p) {
        Fellow f = fellows.get(from);
        if (!f.heard && f.pending.size() < MOST_PENDING) {
            f.pending.put(p.scope(), p);
        }
    }

    /** A fellow lists what both hold; returns the scopes that were not known, to be entered. */
    void listing(int from, Message.Listing l, Rules rules) {
        Fellow f = fellows.get(from);
        lived(from, l.life());
        if (f.heard || !l.after().equals(f.after)) {
            return;
        }
        for (Message.Listed s : l.scopes()) {
            Message.Pending p = f.pending.get(Ids.of(s.scope()));
            if (s.pending() > 0 && (p == null || p.link().version() != s.pending() || p.epoch() != s.pendingEpoch())) {
                // It was lost, or it has changed since: the page is asked for again.
                f.pending.clear();
                return;
            }
        }
        for (Message.Listed s : l.scopes()) {
            List<Integer> holders = layout.holders(s.scope());
            if (!holders.contains(self) || !holders.contains(from) || ledgers.size() >= terms.mostScopes()) {
                continue;
            }
            Ledger ledger = ledgers.get(s.scope());
            if (ledger == null) {
                ledger = new Ledger(s.scope(), holders, self, rules, terms);
                ledgers.put(s.scope(), ledger);
                unfilled.add(ledger);
                // It is asked for at once.
                repairUs = Long.MIN_VALUE;
            }
            ledger.listed(from, s, s.pending() > 0 ? f.pending.get(ledger.id()) : null);
            f.after = s.scope();
        }
        f.pending.clear();
        f.askUs = 0;
        f.heard = l.end();
    }

    /** Returns those scopes that this machine counts as a holder of from now on. */
    List<Ledger> filled() {
        var now = new ArrayList<Ledger>();
        for (Ledger ledger : unfilled) {
            if (ledger.tryToCount(heard(ledger.holders()))) {
                now.add(ledger);
            }
        }
        now.forEach(unfilled::remove);
        return now;
    }

    int unfilled() {
        return unfilled.size();
    }
}
