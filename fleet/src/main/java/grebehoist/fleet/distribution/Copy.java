package grebehoist.fleet.distribution;

import java.util.List;

/** A proxy's copy of a scope: what is in force, and beside it what is being got anew where that has come to differ. */
final class Copy {
    /** Where news go. */
    interface News {
        /** Tells what has changed. */
        void changed(DistributionChange change);
    }

    private final String scope;
    private final long id;
    private final Rules rules;
    private final News news;
    private Replica replica;
    private Replica staging;
    /** All has been here once that its source had when it began to give it. */
    private boolean whole;

    private long wholeAt = -1;
    private long confirmedUs = -1;
    private boolean missing;

    Copy(String scope, Rules rules, News news) {
        this.scope = scope;
        this.id = Ids.of(scope);
        this.rules = rules;
        this.news = news;
        this.replica = new Replica(scope, rules);
    }

    String scope() {
        return scope;
    }

    long id() {
        return id;
    }

    Replica replica() {
        return replica;
    }

    boolean filling() {
        return staging != null || !whole;
    }

    /** Returns when its source confirmed last that this is all there is; -1 for never. */
    long confirmedUs() {
        return confirmedUs;
    }

    Message.Have have() {
        Replica r = staging != null ? staging : replica;
        return new Message.Have(id, r.have(), r.hash(), filling(), r.gaps());
    }

    /** Takes changes; returns whether this is news. */
    boolean take(Iterable<Link> links) {
        Replica to = staging != null ? staging : replica;
        long before = to.have();
        int waited = to.waiting();
        for (Link link : links) {
            to.take(link, to == replica ? this::applied : (item, old) -> {});
        }
        if (to == replica && to.have() > before) {
            news.changed(new DistributionChange.InForce(scope, to.have()));
        }
        missing = false;
        grown();
        return to.have() > before || to.waiting() != waited;
    }

    private void grown() {
        whole |= wholeAt >= 0 && replica.have() >= wholeAt;
    }

    private void applied(Item item, Item before) {
        if (!item.removed()) {
            news.changed(new DistributionChange.Applied(item));
        } else if (before != null) {
            news.changed(new DistributionChange.Removed(before, item.version()));
        }
    }

    /** What its source has; returns whether there is something to tell the source. */
    boolean headOf(int source, Message.Head h) {
        boolean some = h.last() < h.head() && take(List.of(Link.nothing(h.last(), h.head())));
        wholeAt = wholeAt < 0 ? h.head() : wholeAt;
        grown();
        Replica to = staging != null ? staging : replica;
        boolean removalsMissing = staging == null && whole && to.have() < h.floor();
        boolean differs = to.have() == h.head() && to.hash() != h.hash();
        if (!removalsMissing && !differs) {
            return some;
        }
        if (staging == null) {
            news.changed(new DistributionChange.Refilling(scope, source));
        }
        staging = new Replica(scope, rules);
        return true;
    }

    /** Its source has the same as what was told. */
    void confirmed(long nowUs, Message.Have told) {
        Replica to = staging != null ? staging : replica;
        if (to.have() != told.have() || to.hash() != told.hash()) {
            return;
        }
        if (staging != null) {
            swap();
        }
        whole = true;
        missing = false;
        confirmedUs = nowUs;
    }

    /** What was got anew takes the place of what was in force. */
    private void swap() {
        Replica old = replica;
        Replica next = staging;
        staging = null;
        if (next.have() < old.have()) {
            return;
        }
        replica = next;
        for (Item item : next.sorted()) {
            Item before = old.item(item.key());
            if (before == null || before.version() != item.version()) {
                news.changed(new DistributionChange.Applied(item));
            }
        }
        for (Item item : old.sorted()) {
            if (next.item(item.key()) == null) {
                news.changed(new DistributionChange.Removed(item, next.have()));
            }
        }
        if (next.have() > old.have()) {
            news.changed(new DistributionChange.InForce(scope, next.have()));
        }
    }

    /** A machine knows no such scope. */
    void notThere(int source) {
        if (!missing) {
            missing = true;
            news.changed(new DistributionChange.NoSuchScope(scope, source));
        }
    }

    /** It is got from another machine from now on. */
    void moved(int from, int to) {
        staging = null;
        wholeAt = -1;
        news.changed(new DistributionChange.SourceMoved(scope, from, to));
    }
}
