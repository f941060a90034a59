package grebehoist.fleet.distribution;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Calls and answers as CBOR (RFC 8949), for whoever carries them: one array, its kind first. Further fields are left alone, for versions to come. */
public final class CallCodec {
    private static final long MOST = Item.MOST_VERSION;
    private static final int CREATE = 0;
    private static final int OPEN = 1;
    private static final int OFFER = 2;
    private static final int TAKEN = 3;
    private static final int OPENED = 4;
    private static final int HELD = 5;
    private static final int REFUSAL = 6;
    private static final int MOST_WHY = 4_096;

    private CallCodec() { }

    /** Returns the bytes of a call. */
    public static byte[] encode(Call call) {
        var to = new CborWriter();
        if (call instanceof Call.Create c) {
            to.array(4).number(CREATE).number(c.machine()).text(c.scope()).number(c.base());
        } else if (call instanceof Call.Open o) {
            to.array(4).number(OPEN).number(o.machine()).text(o.scope()).number(o.epoch());
        } else if (call instanceof Call.Offer o) {
            write(to.array(8).number(OFFER).number(o.machine()).text(o.scope()).number(o.epoch()), o.item());
        } else if (call instanceof Call.Taken t) {
            to.array(5).number(TAKEN).number(t.machine()).text(t.scope()).number(t.epoch()).number(t.version());
        }
        return to.done();
    }

    private static void write(CborWriter to, Item item) {
        to.number(item.kind()).text(item.key()).bytes(item.value()).number(item.version());
    }

    private static Item item(CborReader from, String scope) throws IOException {
        return new Item((int) from.number(Item.MOST_KIND), scope, from.text(1, Item.KEY_BYTES), from.bytesOrNull(Item.VALUE_BYTES), from.number(MOST));
    }

    /** Reads a call; null for bytes that are none. */
    public static Call call(byte[] bytes) {
        try (CborReader from = new CborReader(bytes)) {
            from.array();
            int type = (int) from.number(TAKEN);
            int machine = (int) from.number(Layout.MOST - 1);
            String scope = from.text(1, Item.SCOPE_BYTES);
            Call call = switch (type) {
                case CREATE -> new Call.Create(machine, scope, from.number(MOST));
                case OPEN -> new Call.Open(machine, scope, from.number(MOST));
                case OFFER -> new Call.Offer(machine, from.number(MOST), item(from, scope));
                default -> new Call.Taken(machine, scope, from.number(MOST), from.number(MOST));
            };
            from.end();
            return call;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    /** Returns the bytes of an answer. */
    public static byte[] encode(Answer answer) {
        var to = new CborWriter();
        if (answer instanceof Answer.Opened o) {
            write(to.array(4).number(OPENED), o.lives()).number(o.head()).array(o.pending() == null ? 0 : 1);
            if (o.pending() != null) {
                write(to.array(6).number(o.pendingEpoch()).text(o.pending().scope()), o.pending());
            }
        } else if (answer instanceof Answer.Held h) {
            write(to.array(4).number(HELD), h.lives()).number(h.version()).number(h.taken() ? 1 : 0);
        } else if (answer instanceof Answer.Refusal r) {
            to.array(4).number(REFUSAL).text(r.why()).number(r.head() + 1).number(r.never() ? 1 : 0);
        }
        return to.done();
    }

    private static CborWriter write(CborWriter to, Lives lives) {
        to.array(lives.of().size());
        lives.of().forEach((machine, life) -> to.array(2).number(machine).number(life));
        return to;
    }

    private static Lives lives(CborReader from) throws IOException {
        Map<Integer, Long> of = new HashMap<>();
        from.array();
        while (from.another()) {
            of.put((int) from.number(Layout.MOST - 1), from.number(MOST));
            from.end();
        }
        return new Lives(of);
    }

    /** Reads an answer; null for bytes that are none. */
    public static Answer answer(byte[] bytes) {
        try (CborReader from = new CborReader(bytes)) {
            from.array();
            Answer answer = switch ((int) from.number(REFUSAL)) {
                case OPENED -> opened(from);
                case HELD -> new Answer.Held(lives(from), from.number(MOST), from.number(1) == 1);
                case REFUSAL -> new Answer.Refusal(from.text(0, MOST_WHY), from.number(MOST) - 1, from.number(1) == 1);
                default -> null;
            };
            from.end();
            return answer;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    private static Answer opened(CborReader from) throws IOException {
        Lives lives = lives(from);
        long head = from.number(MOST);
        Item pending = null;
        long epoch = 0;
        from.array();
        while (from.another()) {
            epoch = from.number(MOST);
            pending = item(from, from.text(1, Item.SCOPE_BYTES));
            from.end();
        }
        return new Answer.Opened(lives, head, pending, epoch);
    }
}
