package grebehoist.fleet.distribution;

import grebehoist.fleet.wire.Post;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The scopes of a proxy that are held by the same machines, and the one of these that they are got from. */
final class SourceGroup {
    /** A question without an answer is asked again sooner than the next would be. */
    private static final double AGAIN = 1.5;

    private static final int SELDOM = 5;
    private static final long GIVING_US = 5_000_000;
    private static final long MOST_JITTER_US = 1_000_000;

    private final List<Integer> sources;
    private final DistributionTerms terms;
    private final RandomGenerator random;
    private final Outbox out;
    private final Map<Long, Copy> copies = new LinkedHashMap<>(4);
    /** What was told and is not yet answered, by number. */
    private final Map<Long, List<Message.Have>> asked = new HashMap<>(4);

    private final Set<Copy> toAck = new LinkedHashSet<>(4);
    private int at;
    private long digestUs;
    /** When the next one is due where this one is answered. */
    private long periodUs;

    private long ackUs;
    /** When the source is to be left; 0 where it is not. */
    private long moveUs;

    private int unanswered;
    private boolean answered = true;
    private long gaveUs = Long.MIN_VALUE / 2;
    private long ackedUs = Long.MIN_VALUE / 2;
    private final Proxy proxy;

    /** What the groups of a proxy have in common. */
    interface Proxy {
        /** Returns a number that no question had before. */
        long nextQuestion();

        /** Returns how many groups get changes now. */
        int sharers(long nowUs);
    }

    SourceGroup(List<Integer> sources, DistributionTerms terms, RandomGenerator random, Outbox out, Proxy proxy) {
        this.proxy = proxy;
        this.sources = sources;
        this.terms = terms;
        this.random = random;
        this.out = out;
    }

    /** Returns whether changes have come of late. */
    boolean gets(long nowUs) {
        return nowUs - gaveUs < GIVING_US;
    }

    int source() {
        return sources.get(at);
    }

    boolean isEmpty() {
        return copies.isEmpty();
    }

    Copy copy(long id) {
        return copies.get(id);
    }

    void add(Copy copy) {
        copies.put(copy.id(), copy);
        digestUs = 0;
    }

    void remove(Copy copy) {
        copies.remove(copy.id());
        toAck.remove(copy);
        out.say(source(), new Message.Left(copy.id()));
    }

    void start(long nowUs) {
        // All proxies may start at once.
        digestUs = nowUs + random.nextLong(terms.digestUs() / 4);
    }

    void tick(long nowUs) {
        if (moveUs > 0 && nowUs >= moveUs) {
            move(nowUs);
        }
        if (nowUs >= digestUs) {
            digest(nowUs);
        } else if (!toAck.isEmpty() && nowUs >= ackUs) {
            boolean toBeAnswered = toAck.stream().anyMatch(Copy::filling);
            for (List<Message.Have> page : pages(toAck)) {
                say(nowUs, page, toBeAnswered);
            }
            toAck.clear();
            ackedUs = nowUs;
        }
    }

    private void digest(long nowUs) {
        unanswered = answered ? 0 : unanswered + 1;
        if (unanswered >= terms.patience() && moveUs == 0) {
            moveUs = nowUs + random.nextLong(MOST_JITTER_US);
        }
        answered = false;
        asked.clear();
        toAck.clear();
        for (List<Message.Have> page : pages(copies.values())) {
            say(nowUs, page, true);
        }
        digestUs = nowUs + (long) (AGAIN * terms.retryUs());
        periodUs = nowUs + (long) (terms.digestUs() * random.nextDouble(0.8, 1.2));
    }

    private void say(long nowUs, List<Message.Have> page, boolean toBeAnswered) {
        long number = toBeAnswered ? proxy.nextQuestion() : 0;
        if (toBeAnswered) {
            asked.put(number, page);
        }
        out.say(source(), new Message.Digest(number, proxy.sharers(nowUs), page));
    }

    private static List<List<Message.Have>> pages(Iterable<Copy> of) {
        var pages = new ArrayList<List<Message.Have>>();
        var page = new ArrayList<Message.Have>();
        int room = Post.ROOM - DistributionCodec.DIGEST_FRAME;
        for (Copy copy : of) {
            Message.Have have = copy.have();
            int bytes = DistributionCodec.encode(have).length;
            if (bytes > room) {
                pages.add(page);
                page = new ArrayList<>();
                room = Post.ROOM - DistributionCodec.DIGEST_FRAME;
            }
            room -= bytes;
            page.add(have);
        }
        if (!page.isEmpty()) {
            pages.add(page);
        }
        return pages;
    }

    private void move(long nowUs) {
        int from = source();
        copies.values().forEach(c -> out.say(from, new Message.Left(c.id())));
        at = (at + 1) % sources.size();
        moveUs = 0;
        unanswered = 0;
        answered = true;
        digestUs = nowUs;
        asked.clear();
        if (source() != from) {
            copies.values().forEach(c -> c.moved(from, source()));
        }
    }

    /** The source has said something of a scope of these. */
    void received(long nowUs, Copy copy, Message message) {
        if (message instanceof Message.Unheld u && u.filling()) {
            // It lives, and is of no use yet.
            if (moveUs == 0) {
                moveUs = nowUs + terms.retryUs() + random.nextLong(MOST_JITTER_US);
            }
            return;
        }
        heard();
        if (message instanceof Message.Unheld) {
            copy.notThere(source());
        } else if (message instanceof Message.Changes c && copy.take(c.links())
                || message instanceof Message.Head h && copy.headOf(source(), h)) {
            if (toAck.isEmpty()) {
                // Where much comes, and not all of a scope, it isn't told of each time.
                ackUs = Math.max(nowUs + terms.ackUs(), copy.filling() ? 0 : ackedUs + SELDOM * terms.ackUs());
            }
            toAck.add(copy);
            gaveUs = nowUs;
        }
    }

    private void answered() {
        answered = true;
        digestUs = Math.max(digestUs, periodUs);
    }

    private void heard() {
        answered();
        unanswered = 0;
        moveUs = 0;
    }

    /** The source has answered. */
    void seen(long nowUs, Message.Seen seen) {
        List<Message.Have> page = asked.remove(seen.seq());
        if (page == null) {
            return;
        }
        answered();
        for (int i = 0; i < page.size(); i++) {
            Copy copy = copies.get(page.get(i).scope());
            if (copy != null && (seen.differ() >>> i & 1) == 0) {
                heard();
                copy.confirmed(nowUs, page.get(i));
            }
        }
    }
}
