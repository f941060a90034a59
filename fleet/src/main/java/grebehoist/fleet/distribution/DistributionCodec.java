package grebehoist.fleet.distribution;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages as CBOR (RFC 8949): one array each, its kind first, several behind each other in a body. Further fields, and messages of kinds that are not
 * known, are left alone, for versions to come.
 */
final class DistributionCodec {
    private static final long MOST = Item.MOST_VERSION;
    private static final int DIGEST = 0;
    private static final int SEEN = 1;
    private static final int CHANGES = 2;
    private static final int HEAD = 3;
    private static final int UNHELD = 4;
    private static final int LEFT = 5;
    private static final int HOLDS = 6;
    private static final int LIST_AFTER = 7;
    private static final int LISTING = 8;
    private static final int PENDING = 9;
    private static final int ASK = 10;
    private static final int NAMED = 11;
    /** Before the entries of a digest, with every number at its greatest; a listing's is longer. */
    static final int DIGEST_FRAME = 1 + 1 + 9 + 2 + 2;

    static final int CHANGES_FRAME = 1 + 1 + 9 + 2;
    static final int LISTING_FRAME = 1 + 1 + 9 + 2 + Item.SCOPE_BYTES + 1 + 2;

    private DistributionCodec() {}

    static byte[] encode(Message message) {
        var to = new CborWriter();
        if (message instanceof Message.Digest d) {
            to.array(4)
                    .number(DIGEST)
                    .number(d.seq())
                    .number(d.sharers())
                    .array(d.scopes().size());
            d.scopes().forEach(h -> to.raw(encode(h)));
        } else if (message instanceof Message.Seen s) {
            to.array(3).number(SEEN).number(s.seq()).number(s.differ());
        } else if (message instanceof Message.Changes c) {
            to.array(3).number(CHANGES).number(c.scope()).array(c.links().size());
            c.links().forEach(l -> to.raw(encode(l)));
        } else if (message instanceof Message.Head h) {
            to.array(6)
                    .number(HEAD)
                    .number(h.scope())
                    .number(h.head())
                    .number(h.hash() & 0xFFFF_FFFFL)
                    .number(h.floor())
                    .number(h.last());
        } else if (message instanceof Message.Unheld u) {
            to.array(3).number(UNHELD).number(u.scope()).number(u.filling() ? 1 : 0);
        } else if (message instanceof Message.Left l) {
            to.array(2).number(LEFT).number(l.scope());
        } else {
            encodeBetweenMachines(message, to);
        }
        return to.done();
    }

    private static void encodeBetweenMachines(Message message, CborWriter to) {
        if (message instanceof Message.Holds h) {
            to.array(5)
                    .number(HOLDS)
                    .number(h.scope())
                    .number(h.version())
                    .number(h.epoch())
                    .number(h.life());
        } else if (message instanceof Message.ListAfter l) {
            to.array(3).number(LIST_AFTER).number(l.life()).text(l.after());
        } else if (message instanceof Message.Listing l) {
            to.array(5)
                    .number(LISTING)
                    .number(l.life())
                    .text(l.after())
                    .number(l.end() ? 1 : 0)
                    .array(l.scopes().size());
            l.scopes().forEach(s -> to.raw(encode(s)));
        } else if (message instanceof Message.Pending p) {
            to.array(4).number(PENDING).number(p.scope()).number(p.epoch()).raw(encode(p.link()));
        } else if (message instanceof Message.Ask a) {
            to.array(2).number(ASK).number(a.scope());
        } else if (message instanceof Message.Named n) {
            to.array(2).number(NAMED).text(n.scope());
        }
    }

    static byte[] encode(Message.Have h) {
        var to = new CborWriter()
                .array(5)
                .number(h.scope())
                .number(h.have())
                .number(h.hash() & 0xFFFF_FFFFL)
                .number(h.fill() ? 1 : 0)
                .array(h.gaps().size());
        long at = h.have();
        for (Message.Gap g : h.gaps()) {
            // Distances are short.
            to.array(2).number(g.from() - at).number(g.to() - g.from());
            at = g.to();
        }
        return to.done();
    }

    static byte[] encode(Link l) {
        // The distance is mostly 1.
        return new CborWriter()
                .array(5)
                .number(l.version())
                .number(l.version() - l.prev())
                .number(l.kind())
                .text(l.key())
                .bytes(l.value())
                .done();
    }

    static byte[] encode(Message.Listed s) {
        return new CborWriter()
                .array(5)
                .text(s.scope())
                .number(s.head())
                .number(s.promised())
                .number(s.pending())
                .number(s.pendingEpoch())
                .done();
    }

    /** Reads messages, one behind the other; null for bytes that are none, or not only. */
    static List<Message> decode(byte[] bytes) {
        var all = new ArrayList<Message>();
        try (CborReader from = new CborReader(bytes)) {
            boolean some = false;
            while (from.next()) {
                some = true;
                Message message = message(from);
                from.end();
                if (message != null) {
                    all.add(message);
                }
            }
            return some ? all : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static Message message(CborReader from) throws IOException {
        return switch ((int) from.number(Integer.MAX_VALUE)) {
            case DIGEST -> digest(from);
            case SEEN -> new Message.Seen(from.number(MOST), from.number(Long.MAX_VALUE));
            case CHANGES -> changes(from);
            case HEAD ->
                new Message.Head(scope(from), from.number(MOST), hash(from), from.number(MOST), from.number(MOST));
            case UNHELD -> new Message.Unheld(scope(from), from.number(1) == 1);
            case LEFT -> new Message.Left(scope(from));
            case HOLDS -> new Message.Holds(scope(from), from.number(MOST), from.number(MOST), from.number(MOST));
            case LIST_AFTER -> new Message.ListAfter(from.number(MOST), from.text(0, Item.SCOPE_BYTES));
            case LISTING -> listing(from);
            case PENDING -> pending(from);
            case ASK -> new Message.Ask(scope(from));
            case NAMED -> new Message.Named(from.text(1, Item.SCOPE_BYTES));
            default -> null;
        };
    }

    private static long scope(CborReader from) throws IOException {
        return from.number(Long.MAX_VALUE);
    }

    private static int hash(CborReader from) throws IOException {
        return (int) from.number(0xFFFF_FFFFL);
    }

    private static Message digest(CborReader from) throws IOException {
        long seq = from.number(MOST);
        int sharers = (int) from.number(Layout.MOST);
        var scopes = new ArrayList<Message.Have>();
        from.array();
        while (from.another()) {
            scopes.add(have(from));
        }
        if (scopes.size() >= Long.SIZE) {
            throw new IOException(scopes.size() + " scopes");
        }
        return new Message.Digest(seq, sharers, scopes);
    }

    /** Its array has begun. */
    private static Message.Have have(CborReader from) throws IOException {
        long scope = scope(from);
        long have = from.number(MOST);
        int hash = hash(from);
        boolean fill = from.number(1) == 1;
        var gaps = new ArrayList<Message.Gap>();
        long at = have;
        from.array();
        while (from.another()) {
            long begin = at + from.number(MOST - at);
            at = begin + from.number(MOST - begin);
            gaps.add(new Message.Gap(begin, at));
            from.end();
        }
        from.end();
        return new Message.Have(scope, have, hash, fill, gaps);
    }

    private static Message changes(CborReader from) throws IOException {
        long scope = scope(from);
        var links = new ArrayList<Link>();
        from.array();
        while (from.another()) {
            links.add(link(from));
        }
        return new Message.Changes(scope, links);
    }

    /** Its array has begun. */
    private static Link link(CborReader from) throws IOException {
        long version = from.number(MOST);
        long distance = from.number(version);
        int kind = (int) from.number(Item.MOST_KIND);
        var link = new Link(
                version - distance, version, kind, from.text(1, Item.KEY_BYTES), from.bytesOrNull(Item.VALUE_BYTES));
        if (distance == 0) {
            throw new IOException("a change before itself");
        }
        from.end();
        return link;
    }

    private static Message listing(CborReader from) throws IOException {
        long life = from.number(MOST);
        String after = from.text(0, Item.SCOPE_BYTES);
        boolean end = from.number(1) == 1;
        var scopes = new ArrayList<Message.Listed>();
        from.array();
        while (from.another()) {
            scopes.add(new Message.Listed(
                    from.text(1, Item.SCOPE_BYTES),
                    from.number(MOST),
                    from.number(MOST),
                    from.number(MOST),
                    from.number(MOST)));
            from.end();
        }
        return new Message.Listing(life, after, end, scopes);
    }

    private static Message pending(CborReader from) throws IOException {
        long scope = scope(from);
        long epoch = from.number(MOST);
        from.array();
        return new Message.Pending(scope, epoch, link(from));
    }
}
