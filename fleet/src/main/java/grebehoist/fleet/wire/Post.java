package grebehoist.fleet.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Seals what goes to other members and opens what comes from them. A datagram counts only if its seal is right for sender and receiver, it
 * comes from the sender's address, it has not come before, and it echoes a word that this life of the receiver has drawn for the sender.
 * So what was recorded is worth nothing to a process that was started later, without a disk or a clock in common. Two members that
 * have not yet heard of each other exchange words first ({@code HELLO}); the last thing said meanwhile is said again then.
 *
 * <p>Used by one thread. Kept for each member that was heard or spoken to: a session and at most one body.
 */
public final class Post {
    /** The longest datagram, in bytes (PROTOCOL, between proxies). */
    public static final int MOST_BYTES = 256;
    /** What is left for a body, in bytes. */
    public static final int ROOM = MOST_BYTES - KeyRing.SEAL - Header.MOST_BYTES;
    /** No body: words are exchanged, and the other side is to show that it has heard. */
    private static final int HELLO = 0;
    /** No body: the answer to it. */
    private static final int WELCOME = 1;

    private static final byte[] NOTHING = {};
    /** The first topic of those who speak over this. */
    public static final int FIRST_TOPIC = 8;

    private static final long HELLO_EVERY_US = 100_000;
    /** What could not be said is of use for so long. */
    private static final long RESAID_US = 400_000;
    /** A member may send so many a second, in bursts of twice that. */
    private static final int FLOOD_PER_S = 200;

    /** What a datagram was good for. */
    public sealed interface Opened permits Body, Dropped, Words {}

    /** A body to be handed on. */
    public record Body(int from, int topic, byte[] bytes) implements Opened {}

    /** It changes nothing. */
    public record Dropped(Refused why) implements Opened {}

    /**
     * Words were exchanged.
     *
     * @param again what is to be sent to the member now, perhaps nothing
     * @param proven whether it is sure that the member has said this, and now
     */
    public record Words(int from, List<byte[]> again, boolean proven) implements Opened {}

    private record Unsaid(int topic, byte[] body, long atUs) {}

    private record Allowance(double left, long atUs) {}

    /** What is kept of a member that has sealed something rightly, or that something was sealed for. */
    private static final class Peer {
        private final Session session = new Session();
        private Unsaid unsaid;
        private long greetedAt = Long.MIN_VALUE / 2;
    }

    private final int self;
    private final int members;
    private final KeyRing ring;
    private final long life;
    private final long secret;
    /** Of most members of a large fleet nothing is ever heard: only the others take room. */
    private final Map<Integer, Peer> peers = new HashMap<>();

    private final Map<Integer, Allowance> allowances = new HashMap<>();
    private final Map<Refused, Long> refused = new EnumMap<>(Refused.class);

    /**
     * Makes one.
     *
     * @param self this member's number, from 0
     * @param members how many there are
     * @param random draws this life; it must differ from life to life
     */
    public Post(int self, int members, KeyRing ring, RandomGenerator random) {
        if (self < 0 || self >= members || members > 0xFFFF) {
            throw new IllegalArgumentException("member " + self + " of " + members);
        }
        this.self = self;
        this.members = members;
        this.ring = ring;
        this.life = 1 + random.nextLong(0xFFFF_FFFFL);
        this.secret = random.nextLong();
    }

    /**
     * Returns the number that a datagram's sender gives as its own, not yet proven; -1 where it can't be read. For those that know others by
     * their number and not by their address.
     */
    public static int sender(byte[] datagram) {
        int sealed = datagram.length - KeyRing.SEAL;
        if (sealed <= 0 || datagram.length > MOST_BYTES) {
            return -1;
        }
        try {
            Header.Read read = Header.read(datagram, sealed);
            return read.length() > 0 ? read.header().sender() : -1;
        } catch (Header.Unreadable e) {
            return -1;
        }
    }

    private Peer peer(int member) {
        return peers.computeIfAbsent(member, m -> new Peer());
    }

    /** Returns of how many members something is kept. */
    int kept() {
        return peers.size();
    }

    /** Returns how many datagrams changed nothing, by cause. */
    public Map<Refused, Long> refused() {
        return Map.copyOf(refused);
    }

    /** Returns how often two processes with the same number were heard in turns. */
    public int twins(int member) {
        Peer peer = peers.get(member);
        return peer == null ? 0 : peer.session.twins();
    }

    /**
     * Seals a body.
     *
     * @param topic at least {@link #FIRST_TOPIC}
     * @param body at most {@link #ROOM} bytes
     * @return the datagram
     */
    public byte[] seal(long nowUs, int to, int topic, byte[] body) {
        if (body.length > ROOM || topic < FIRST_TOPIC) {
            throw new IllegalArgumentException("a body of " + body.length + " bytes, topic " + topic);
        }
        // Where the other does not know this life, it is lost: whoever answers with words hears it again.
        Peer peer = peer(to);
        peer.unsaid = new Unsaid(topic, body, nowUs);
        return datagram(to, topic, body, peer.session.echo());
    }

    private byte[] datagram(int to, int topic, byte[] body, long echo) {
        Session session = peer(to).session;
        var out = new ByteArrayOutputStream(MOST_BYTES);
        new Header(
                        Header.VERSION,
                        ring.sealing(),
                        self,
                        life,
                        session.nextCount() & 0xFFFF_FFFFL,
                        echo,
                        word(to, session.epoch()),
                        topic)
                .write(out);
        out.writeBytes(body);
        byte[] bytes = out.toByteArray();
        out.writeBytes(ring.seal(ring.sealing(), self, to, bytes, bytes.length));
        return out.toByteArray();
    }

    /** The word that a member has to echo; nobody can guess it who has not been told. */
    private long word(int member, int epoch) {
        byte[] mixed = ring.seal(
                ring.sealing(),
                member,
                epoch,
                ByteBuffer.allocate(8).putLong(secret).array(),
                8);
        return Math.max(1, ByteBuffer.wrap(mixed).getInt() & 0xFFFF_FFFFL);
    }

    /**
     * Opens a datagram.
     *
     * @param from the number of the member whose address it comes from, or -1 where nobody has it
     */
    public Opened open(long nowUs, int from, byte[] datagram) {
        if (datagram.length > MOST_BYTES) {
            return drop(Refused.TOO_LONG);
        }
        if (from < 0 || from >= members || from == self) {
            return drop(Refused.WRONG_PLACE);
        }
        if (!allowed(nowUs, from)) {
            return drop(Refused.FLOOD);
        }
        int sealed = datagram.length - KeyRing.SEAL;
        if (sealed <= 0) {
            return drop(Refused.UNREADABLE);
        }
        try {
            Header.Read read = Header.read(datagram, sealed);
            Refused why = flaw(from, read.header(), datagram, sealed);
            return why != null
                    ? drop(why)
                    : admit(nowUs, from, read.header(), Arrays.copyOfRange(datagram, read.length(), sealed));
        } catch (Header.Unreadable e) {
            return drop(Refused.UNREADABLE);
        }
    }

    private Dropped drop(Refused why) {
        refused.merge(why, 1L, Long::sum);
        return new Dropped(why);
    }

    /** What is wrong with who sealed it, and for whom; null for nothing. */
    private Refused flaw(int from, Header header, byte[] datagram, int sealed) {
        if (header.version() != Header.VERSION) {
            return Refused.VERSION;
        }
        if (!ring.has(header.key())) {
            return Refused.KEY;
        }
        if (!ring.opens(
                header.key(),
                header.sender(),
                self,
                datagram,
                sealed,
                Arrays.copyOfRange(datagram, sealed, datagram.length))) {
            return Refused.SEAL;
        }
        return header.sender() == from ? null : Refused.WRONG_PLACE;
    }

    private boolean allowed(long nowUs, int from) {
        Allowance before = allowances.get(from);
        double left = before == null
                ? 2 * FLOOD_PER_S
                : Math.min(2 * FLOOD_PER_S, before.left() + (nowUs - before.atUs()) * (FLOOD_PER_S / 1e6));
        allowances.put(from, new Allowance(Math.max(0, left - 1), nowUs));
        return left >= 1;
    }

    private Opened admit(long nowUs, int from, Header header, byte[] body) {
        Peer peer = peer(from);
        Session session = peer.session;
        boolean proven = header.echo() == word(from, session.epoch())
                || session.speaks(header.life())
                        && session.epoch() > 0
                        && header.echo() == word(from, session.epoch() - 1);
        if (!proven) {
            refused.merge(Refused.UNPROVEN, 1L, Long::sum);
            if (nowUs - peer.greetedAt < HELLO_EVERY_US) {
                return new Dropped(Refused.UNPROVEN);
            }
            peer.greetedAt = nowUs;
            // Its word is good for an answer only: whether it is new, the answer will show.
            if (!session.known()) {
                session.echo(header.word());
            }
            return new Words(from, List.of(datagram(from, HELLO, NOTHING, header.word())), false);
        }
        if (!session.speaks(header.life())) {
            session.begin(header.life());
        }
        if (!session.first(header.count())) {
            return drop(Refused.REPEATED);
        }
        session.echo(header.word());
        if (header.topic() >= FIRST_TOPIC) {
            return new Body(from, header.topic(), body);
        }
        Unsaid again = peer.unsaid;
        peer.unsaid = null;
        if (header.topic() != HELLO) {
            return new Words(from, List.of(), true);
        }
        boolean say = again != null && nowUs - again.atUs() < RESAID_US;
        return new Words(
                from,
                List.of(datagram(from, say ? again.topic() : WELCOME, say ? again.body() : NOTHING, session.echo())),
                true);
    }
}
