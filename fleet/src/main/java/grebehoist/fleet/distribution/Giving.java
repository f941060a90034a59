package grebehoist.fleet.distribution;

import grebehoist.fleet.wire.Post;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Gives what was taken to those who lack it: in turns, paced, and again until they tell that they have it. What waits is where each is, never a
 * message.
 */
final class Giving {
    private final DistributionTerms terms;
    private final Rules rules;
    private final Outbox out;
    /** Those below this number are machines. */
    private final int machines;

    private final Map<Integer, Reader> readers = new HashMap<>();
    private final Map<Ledger, Map<Integer, Reader.Position>> positions = new HashMap<>();
    private final Map<Ledger, Latencies> latencies = new HashMap<>();
    /** Those who lack something, in the order in which they are served. */
    private final Set<Reader> due = new LinkedHashSet<>();

    private double tokens;
    private long filledUs;

    Giving(DistributionTerms terms, Rules rules, Outbox out, int machines) {
        this.terms = terms;
        this.rules = rules;
        this.out = out;
        this.machines = machines;
    }

    private boolean isMachine(int number) {
        return number < machines;
    }

    /** Something was taken: all who get the scope from here lack it. */
    void grown(long nowUs, Ledger ledger) {
        positions.getOrDefault(ledger, Map.of()).forEach((number, p) -> {
            if (p.have() < ledger.head() && nowUs - p.heardUs() <= terms.awayUs()) {
                lacks(nowUs, number, ledger, p);
            }
        });
    }

    private void lacks(long sinceUs, int number, Ledger ledger, Reader.Position p) {
        p.behind(sinceUs);
        Reader reader = readers.get(number);
        reader.behind().put(ledger, p);
        due.add(reader);
    }

    /** One has told what it has of a scope; returns whether that is all, and the same. */
    boolean told(long nowUs, int number, int sharers, Ledger ledger, Message.Have have) {
        Reader reader = readers.computeIfAbsent(number, n -> new Reader(n, nowUs, terms));
        reader.sharers(sharers);
        Reader.Position p = positions
                .computeIfAbsent(ledger, l -> new HashMap<>())
                .computeIfAbsent(number, n -> new Reader.Position());
        long before = p.have();
        p.told(nowUs, have, terms.retryUs());
        if (!isMachine(number)) {
            acknowledged(nowUs, ledger, p, before);
        }
        boolean same = have.have() == ledger.head() && have.hash() == ledger.hash();
        if (have.have() < ledger.head()) {
            if (have.have() > 0 && have.have() < ledger.book().floor() && !have.fill()) {
                // What it lacks is not all known here any more: it has to begin anew.
                reader.behind().remove(ledger);
                p.behind(nowUs);
                out.say(number, head(ledger));
            } else {
                lacks(nowUs, number, ledger, p);
            }
            return false;
        }
        reader.behind().remove(ledger);
        if (!same || have.fill() && isMachine(number)) {
            out.say(number, head(ledger));
        }
        if (same || have.have() > ledger.head()) {
            p.upToDate();
        } else {
            p.behind(nowUs);
        }
        return same;
    }

    private void acknowledged(long nowUs, Ledger ledger, Reader.Position p, long before) {
        if (before < 0 || p.fill() || p.have() <= before || p.have() == ledger.head() && p.hash() != ledger.hash()) {
            return;
        }
        for (Ledger.Logged l : ledger.log()) {
            if (l.version() > before && l.version() <= p.have() && l.atUs() >= p.sinceUs()) {
                latencies.computeIfAbsent(ledger, x -> new Latencies()).add(nowUs - l.atUs());
            }
        }
    }

    private static Message.Head head(Ledger ledger) {
        return new Message.Head(
                ledger.id(),
                ledger.head(),
                ledger.hash(),
                ledger.book().floor(),
                ledger.book().last());
    }

    /** One gets a scope from elsewhere. */
    void left(int number, Ledger ledger) {
        Map<Integer, Reader.Position> of = positions.get(ledger);
        if (of != null) {
            of.remove(number);
        }
        Reader reader = readers.get(number);
        if (reader != null) {
            reader.behind().remove(ledger);
        }
    }

    /** Sends what may be sent now. */
    void tick(long nowUs) {
        tokens = Math.min(terms.machinePerS() / 10.0, tokens + (nowUs - filledUs) / 1e6 * terms.machinePerS());
        filledUs = nowUs;
        var served = new ArrayList<Reader>();
        for (Iterator<Reader> i = due.iterator(); i.hasNext() && tokens > 0; ) {
            Reader reader = i.next();
            i.remove();
            served.add(reader);
            serve(nowUs, reader);
        }
        // Who was served waits behind those who were not.
        for (Reader reader : served) {
            if (!reader.behind().isEmpty()) {
                due.add(reader);
            }
        }
    }

    private void serve(long nowUs, Reader reader) {
        reader.refill(nowUs, terms);
        var sent = new ArrayList<Ledger>();
        reader.behind().entrySet().removeIf(e -> nowUs - e.getValue().heardUs() > terms.awayUs());
        reader.behind().forEach((ledger, p) -> {
            if (serve(nowUs, reader, ledger, p)) {
                sent.add(ledger);
            }
        });
        for (Ledger ledger : sent) {
            reader.behind().put(ledger, reader.behind().remove(ledger));
        }
    }

    private boolean serve(long nowUs, Reader reader, Ledger ledger, Reader.Position p) {
        boolean fill = p.fill() || isMachine(reader.number());
        boolean some = false;
        while (tokens > 0 && reader.allowance(fill, rules) > 0) {
            Message.Gap next = p.next(nowUs, ledger.book(), terms, rules);
            if (next == null) {
                break;
            }
            some = true;
            int bytes = give(nowUs, reader.number(), ledger, p, next);
            reader.spend(fill, bytes);
            tokens -= bytes;
        }
        return some;
    }

    /** Sends one message's worth. */
    private int give(long nowUs, int number, Ledger ledger, Reader.Position p, Message.Gap of) {
        var links = new ArrayList<Link>();
        int room = Post.ROOM - DistributionCodec.CHANGES_FRAME;
        long at = of.from();
        for (Link next = ledger.book().after(at);
                next != null && (links.isEmpty() || next.version() <= of.to());
                next = ledger.book().after(at)) {
            room -= DistributionCodec.encode(next).length;
            if (room < 0) {
                break;
            }
            links.add(next);
            at = next.version();
        }
        int bytes = 0;
        if (of.from() == 0 || links.isEmpty()) {
            bytes += out.say(number, head(ledger));
        }
        if (!links.isEmpty()) {
            bytes += out.say(number, new Message.Changes(ledger.id(), links));
        }
        p.sent(nowUs, of, links.isEmpty() ? ledger.head() : at);
        return bytes;
    }

    /** Returns how far a scope has got with the proxies that get it from here. */
    Progress progress(long nowUs, Ledger ledger) {
        int inForce = 0;
        int away = 0;
        var behind = new ArrayList<Progress.Behind>();
        for (Map.Entry<Integer, Reader.Position> e :
                positions.getOrDefault(ledger, Map.of()).entrySet()) {
            Reader.Position p = e.getValue();
            if (isMachine(e.getKey())) {
                continue;
            }
            if (nowUs - p.heardUs() > terms.awayUs()) {
                away++;
            } else if (p.have() > ledger.head() || p.have() == ledger.head() && p.hash() == ledger.hash()) {
                inForce++;
            } else {
                behind.add(new Progress.Behind(e.getKey(), p.have(), p.behindUs() < 0 ? 0 : nowUs - p.behindUs()));
            }
        }
        behind.sort((a, b) ->
                a.forUs() != b.forUs() ? Long.compare(b.forUs(), a.forUs()) : Integer.compare(a.proxy(), b.proxy()));
        int known = inForce + behind.size();
        Latencies l = latencies.getOrDefault(ledger, Latencies.NONE);
        List<Progress.Behind> named = behind.subList(0, Math.min(Progress.MOST_NAMED, behind.size()));
        return new Progress(ledger.scope(), ledger.head(), known, inForce, away, named, l.at(0.5), l.at(0.99), l.at(1));
    }
}
