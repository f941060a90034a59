package grebehoist.fleet.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a control machine holds, and what it gives to proxies and its fellow holders. Got from a {@link DistributionNode}. */
public final class Holder {
    /** Where news go. */
    interface News {
        /** Tells what has changed. */
        void changed(DistributionChange change);
    }

    private static final long MOST_LIFE = 1L << 52;

    private final int self;
    private final Layout layout;
    private final DistributionTerms terms;
    private final Rules rules;
    private final Outbox out;
    private final News news;
    private final TreeMap<String, Ledger> ledgers = new TreeMap<>();
    private final Map<Long, Ledger> byId = new HashMap<>();
    private final Fellows fellows;
    private final Giving giving;
    private long tidyUs;
    private boolean told;

    Holder(DistributionNode.Setup setup, Rules rules, Outbox out, News news) {
        this.self = setup.number();
        this.layout = setup.layout();
        this.terms = setup.terms();
        this.rules = rules;
        this.out = out;
        this.news = news;
        this.fellows = new Fellows(self, 1 + setup.random().nextLong(MOST_LIFE), layout, terms, out, ledgers);
        this.giving = new Giving(terms, rules, out, layout.machines().size());
    }

    // Writers

    /** Answers a writer's call. Never null. */
    public Answer answer(long nowUs, Call call) {
        List<Integer> holders = layout.holders(call.scope());
        if (call.machine() != self || !holders.contains(self)) {
            return refusal(null, "machine " + self + " does not hold " + call.scope() + ": " + holders + " do");
        }
        Ledger ledger = ledgers.get(call.scope());
        if (call instanceof Call.Create c) {
            return create(c, ledger, holders);
        }
        if (ledger == null) {
            return refusal(null, "unknown scope " + call.scope());
        }
        if (!ledger.counted()) {
            return refusal(
                    ledger,
                    "machine " + self + " has started and fills itself: " + call.scope() + " is at " + ledger.head());
        }
        if (call instanceof Call.Open o) {
            return open(ledger, o);
        }
        if (call instanceof Call.Offer o) {
            return offer(nowUs, ledger, o);
        }
        Call.Taken t = (Call.Taken) call;
        ledger.taken(nowUs, t.epoch(), t.version(), (item, before) -> committed(nowUs, ledger, item));
        return new Answer.Held(fellows.lives(holders), ledger.head(), ledger.head() >= t.version());
    }

    private static Answer.Refusal refusal(Ledger ledger, String why) {
        return new Answer.Refusal(why, ledger == null ? -1 : ledger.head(), false);
    }

    private Answer create(Call.Create c, Ledger ledger, List<Integer> holders) {
        if (Call.Create.flaw(c.scope(), c.base()) != null) {
            return refusal(null, Call.Create.flaw(c.scope(), c.base()));
        }
        if (!fellows.heard(holders) || ledger != null && !ledger.counted()) {
            return refusal(
                    ledger,
                    "machine " + self + " has started and fills itself: not all of " + holders
                            + " have told what they hold");
        }
        if (ledger == null) {
            Ledger same = byId.get(Ids.of(c.scope()));
            if (same != null) {
                return refusal(
                        null,
                        "scope " + c.scope() + " goes by the same number as " + same.scope()
                                + ": another name is wanted");
            }
            if (ledgers.size() >= terms.mostScopes()) {
                return refusal(null, "machine " + self + " holds " + ledgers.size() + " scopes, and no more than that");
            }
            ledger = enter(new Ledger(c.scope(), holders, self, rules, terms).count());
            ledger.begin(c.base());
            fellows.hot(ledger);
        }
        return new Answer.Held(fellows.lives(holders), ledger.head(), false);
    }

    private Ledger enter(Ledger ledger) {
        ledgers.put(ledger.scope(), ledger);
        byId.put(ledger.id(), ledger);
        return ledger;
    }

    private Answer open(Ledger ledger, Call.Open o) {
        if (rules.older(o.epoch(), ledger.promised())) {
            return refusal(ledger, older(o.epoch(), ledger));
        }
        ledger.promise(o.epoch());
        return new Answer.Opened(
                fellows.lives(ledger.holders()), ledger.head(), ledger.pending(), ledger.pendingEpoch());
    }

    private static String older(long epoch, Ledger ledger) {
        return "epoch " + epoch + " is older than " + ledger.promised() + " in " + ledger.scope()
                + ": another writer has begun";
    }

    private Answer offer(long nowUs, Ledger ledger, Call.Offer o) {
        Item item = o.item();
        if (item.version() <= ledger.head()) {
            Boolean is = ledger.is(item);
            return is == null
                    ? refusal(
                            ledger,
                            "version " + item.version() + " of " + item.scope() + " is too long ago to be compared")
                    : is
                            ? new Answer.Held(fellows.lives(ledger.holders()), item.version(), true)
                            : new Answer.Refusal(
                                    "version " + item.version() + " of " + item.scope()
                                            + " is another change: another writer has begun",
                                    ledger.head(),
                                    true);
        }
        if (o.epoch() == 0) {
            return refusal(
                    ledger,
                    "version " + item.version() + " of " + item.scope() + " is not known to be taken here: head is "
                            + ledger.head());
        }
        if (rules.older(o.epoch(), ledger.promised())) {
            return refusal(ledger, older(o.epoch(), ledger));
        }
        if (item.version() == ledger.head() + 2 && ledger.pending() != null) {
            // Who offers the next one knows that this one was taken.
            ledger.taken(nowUs, o.epoch(), item.version() - 1, (i, before) -> committed(nowUs, ledger, i));
        }
        if (item.version() > ledger.head() + 1) {
            fellows.hot(ledger);
            return refusal(
                    ledger, "gap in " + item.scope() + ": head is " + ledger.head() + ", offered is " + item.version());
        }
        if (!item.removed()
                && ledger.book().replica().item(item.key()) == null
                && ledger.book().replica().items().size() >= terms.mostItems()) {
            return refusal(
                    ledger,
                    item.scope() + " has " + terms.mostItems() + " items, and no more than that: " + item.key()
                            + " is one too many");
        }
        if (ledger.accepted()
                && ledger.pendingEpoch() == o.epoch()
                && !ledger.pending().equals(item)) {
            return refusal(
                    ledger,
                    "two changes in epoch " + o.epoch() + " for version " + item.version() + " of " + item.scope());
        }
        ledger.accept(nowUs, o.epoch(), item, (i, before) -> committed(nowUs, ledger, i));
        boolean taken = ledger.head() >= item.version();
        if (taken || ledger.accepted()) {
            sayHolds(ledger, item.version(), o.epoch());
        }
        return new Answer.Held(fellows.lives(ledger.holders()), item.version(), taken);
    }

    private void sayHolds(Ledger ledger, long version, long epoch) {
        for (int h : ledger.holders()) {
            if (h != self) {
                out.say(h, new Message.Holds(ledger.id(), version, epoch, fellows.life()));
            }
        }
    }

    private void committed(long nowUs, Ledger ledger, Item item) {
        news.changed(new DistributionChange.Committed(item));
        fellows.hot(ledger);
        giving.grown(nowUs, ledger);
    }

    // Time and datagrams

    void start(long nowUs) {
        fellows.start(nowUs);
        tidyUs = nowUs;
    }

    void tick(long nowUs) {
        if (nowUs >= tidyUs) {
            tidyUs = nowUs + terms.retryUs();
            for (Ledger ledger : ledgers.values()) {
                ledger.book().forgetUntil(nowUs - terms.tombstoneUs());
                if (ledger.counted() && ledger.accepted()) {
                    sayHolds(ledger, ledger.pending().version(), ledger.pendingEpoch());
                }
            }
            fill(nowUs);
        }
        fellows.tick(nowUs);
        giving.tick(nowUs);
    }

    private void fill(long nowUs) {
        for (Ledger ledger : fellows.filled()) {
            fellows.hot(ledger);
            giving.grown(nowUs, ledger);
        }
        if (!told && fellows.unheard() == 0 && fellows.unfilled() == 0) {
            told = true;
            news.changed(new DistributionChange.Filled(ledgers.size()));
        }
    }

    void received(long nowUs, int from, Message message) {
        if (message instanceof Message.Digest d) {
            digest(nowUs, from, d);
        } else if (message instanceof Message.Left l) {
            Ledger ledger = byId.get(l.scope());
            if (ledger != null) {
                giving.left(from, ledger);
            }
        } else if (from < layout.machines().size()) {
            fromFellow(nowUs, from, message);
        }
    }

    private void digest(long nowUs, int from, Message.Digest d) {
        boolean fellow = from < layout.machines().size();
        long differ = 0;
        for (int i = 0; i < d.scopes().size(); i++) {
            Message.Have have = d.scopes().get(i);
            Ledger ledger = byId.get(have.scope());
            if (ledger == null || !ledger.counted()) {
                differ |= 1L << i;
                notHere(from, fellow, have, ledger);
                continue;
            }
            if (fellow && have.have() > ledger.head()) {
                fellows.hot(ledger, from);
            }
            differ |= giving.told(nowUs, from, d.sharers(), ledger, have) ? 0 : 1L << i;
        }
        if (d.seq() > 0) {
            out.say(from, new Message.Seen(d.seq(), differ));
        }
    }

    private void notHere(int from, boolean fellow, Message.Have have, Ledger ledger) {
        if (!fellow) {
            out.say(from, new Message.Unheld(have.scope(), ledger != null || fellows.unheard() > 0));
        } else if (ledger == null) {
            out.say(from, new Message.Ask(have.scope()));
        }
    }

    private void fromFellow(long nowUs, int from, Message message) {
        if (message instanceof Message.ListAfter l) {
            fellows.listAfter(from, l);
        } else if (message instanceof Message.Pending p) {
            fellows.pending(from, p);
        } else if (message instanceof Message.Listing l) {
            fellows.listing(from, l, rules);
            ledgers.values().forEach(ledger -> byId.putIfAbsent(ledger.id(), ledger));
            fill(nowUs);
        } else if (message instanceof Message.Ask a) {
            Ledger ledger = byId.get(a.scope());
            if (ledger != null) {
                out.say(from, new Message.Named(ledger.scope()));
            }
        } else if (message instanceof Message.Named n) {
            named(from, n.scope());
        } else {
            ofScope(nowUs, from, message);
        }
    }

    /** A scope that a fellow has and this machine has not: it was not reached as it was created. */
    private void named(int from, String scope) {
        List<Integer> holders = layout.holders(scope);
        if (holders.contains(self)
                && holders.contains(from)
                && fellows.heard(holders)
                && !byId.containsKey(Ids.of(scope))
                && ledgers.size() < terms.mostScopes()) {
            Ledger ledger = enter(new Ledger(scope, holders, self, rules, terms).count());
            fellows.hot(ledger, from);
        }
    }

    private void ofScope(long nowUs, int from, Message message) {
        long id = message instanceof Message.Holds h
                ? h.scope()
                : message instanceof Message.Changes c ? c.scope() : message instanceof Message.Head h ? h.scope() : -1;
        Ledger ledger = byId.get(id);
        if (ledger == null || !ledger.holders().contains(from)) {
            return;
        }
        Replica.Sink sink = (item, before) -> committed(nowUs, ledger, item);
        if (message instanceof Message.Holds h) {
            if (ledger.counted() && fellows.lives(from, h.life())) {
                ledger.vote(nowUs, from, h.version(), h.epoch(), sink);
            }
            return;
        }
        long before = ledger.head();
        if (message instanceof Message.Changes c) {
            c.links().forEach(l -> ledger.take(nowUs, l, sink));
        } else if (message instanceof Message.Head h) {
            ledger.headOf(nowUs, h, sink);
        }
        fellows.acknowledge(nowUs, from, ledger);
        if (ledger.head() > before) {
            giving.grown(nowUs, ledger);
            fill(nowUs);
        }
    }

    // To be looked at

    /** Returns the names of the scopes that are held. */
    public List<String> scopes() {
        return List.copyOf(ledgers.keySet());
    }

    /** Returns the items of a scope that are in force, by key; empty where there is no such scope. */
    public List<Item> items(String scope) {
        Ledger ledger = ledgers.get(scope);
        return ledger == null ? List.of() : ledger.book().replica().sorted();
    }

    /** Returns the version of a scope's last change that was taken, as known here; -1 where there is no such scope. */
    public long version(String scope) {
        Ledger ledger = ledgers.get(scope);
        return ledger == null ? -1 : ledger.head();
    }

    /** Returns whether this holds a change: it was taken, as known here, or was accepted here. */
    public boolean holds(Item change) {
        Ledger ledger = ledgers.get(change.scope());
        return ledger != null
                && (ledger.accepted() && ledger.pending().equals(change) || Boolean.TRUE.equals(ledger.is(change)));
    }

    /** Returns whether this would tell a writer of a change: it holds it, or has heard of it as it started, or it was taken too long ago to be compared. */
    public boolean knows(Item change) {
        Ledger ledger = ledgers.get(change.scope());
        return ledger != null
                && (change.equals(ledger.pending())
                        || change.version() <= ledger.head() && !Boolean.FALSE.equals(ledger.is(change)));
    }

    /** Returns whether this counts as a holder of a scope: it knows what its fellow holders knew when it started. */
    public boolean counts(String scope) {
        Ledger ledger = ledgers.get(scope);
        return ledger != null && ledger.counted();
    }

    /** Returns how many of the other machines have not told yet what they hold since this one started. */
    public int unheard() {
        return fellows.unheard();
    }

    /** Returns how far a scope has got; null where there is no such scope. */
    public Progress progress(long nowUs, String scope) {
        Ledger ledger = ledgers.get(scope);
        return ledger == null ? null : giving.progress(nowUs, ledger);
    }
}
