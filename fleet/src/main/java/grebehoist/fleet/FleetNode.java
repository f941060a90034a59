package grebehoist.fleet;

import grebehoist.fleet.lease.LeaseChange;
import grebehoist.fleet.lease.LeaseCodec;
import grebehoist.fleet.lease.LeaseMessage;
import grebehoist.fleet.lease.LeaseTerms;
import grebehoist.fleet.lease.Leases;
import grebehoist.fleet.lease.Protocol;
import grebehoist.fleet.membership.Change;
import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.membership.Message;
import grebehoist.fleet.membership.MessageCodec;
import grebehoist.fleet.membership.State;
import grebehoist.fleet.membership.Terms;
import grebehoist.fleet.wire.KeyRing;
import grebehoist.fleet.wire.Post;
import grebehoist.fleet.wire.Refused;
import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member: the seal on its datagrams and what it holds of the others. No clock, thread or socket; used by one thread. Times are
 * microseconds of a clock that does not go back.
 */
public final class FleetNode {
    /** Where datagrams and news go. */
    public interface Output {
        /** Sends a datagram to a member's address. */
        void send(int to, byte[] datagram);

        /** Tells what has changed. */
        void changed(Change change);

        /** Tells what has changed about a task; not called where there are none. */
        default void changed(LeaseChange change) {}
    }

    /**
     * The tasks of the fleet, and who grants them.
     *
     * @param set the number of this set of voters
     * @param floor tokens are greater than this: milliseconds of the wall clock
     */
    public record Tasks(LeaseTerms terms, int set, List<Integer> voters, List<String> names, long floor) {}

    /** Who this member is: its number and how many there are, its name and zone. */
    public record Identity(int number, int members, String name, String zone) {}

    /** Makes the machine; a test puts another one in its place. */
    public interface Maker {
        /** As the constructor of {@link Membership}. */
        Membership make(
                Terms terms,
                int self,
                int members,
                String name,
                String zone,
                RandomGenerator random,
                Membership.Output out);
    }

    private static final int MEMBERSHIP = Post.FIRST_TOPIC;
    private static final int LEASES = MEMBERSHIP + 1;

    private final Identity identity;
    private final Post post;
    private final Membership membership;
    private final Output out;
    private final int[] twins;
    private final RandomGenerator random;
    /** Null without tasks. */
    private Leases leases;
    /** What is said of tasks goes together, as much as there is room for: at most one datagram's worth for each member. */
    private final Map<Integer, ByteArrayOutputStream> waiting = new LinkedHashMap<>();

    private long now;
    private long unreadable;

    /** Makes one that is yet to be started. */
    public FleetNode(Identity identity, Terms terms, KeyRing ring, RandomGenerator random, Output out) {
        this(identity, terms, ring, random, out, Membership::new);
    }

    /** As the other, with another machine. */
    public FleetNode(Identity identity, Terms terms, KeyRing ring, RandomGenerator random, Output out, Maker maker) {
        this.identity = identity;
        this.out = out;
        this.random = random;
        this.post = new Post(identity.number(), identity.members(), ring, random);
        this.twins = new int[identity.members()];
        this.membership = maker.make(
                terms,
                identity.number(),
                identity.members(),
                identity.name(),
                identity.zone(),
                random,
                new Membership.Output() {
                    @Override
                    public void send(int to, Message message) {
                        out.send(to, post.seal(now, to, MEMBERSHIP, MessageCodec.encode(message)));
                    }

                    @Override
                    public void changed(Change change) {
                        out.changed(change);
                    }
                });
    }

    /** Gives it tasks to share with the others; to be called before it starts. */
    public Leases share(Tasks tasks) {
        return share(tasks, new Protocol(tasks.terms(), tasks.voters().size()));
    }

    /** As the other, with another protocol: a test puts one in its place. */
    public Leases share(Tasks tasks, Protocol protocol) {
        var setup = new Leases.Setup(
                identity.number(),
                identity.members(),
                random.nextLong(1, 1L << 32),
                tasks.set(),
                tasks.voters(),
                tasks.names());
        leases = new Leases(
                protocol,
                setup,
                tasks.floor(),
                random,
                m -> m == identity.number() || membership.state(m) == State.ALIVE,
                new Leases.Output() {
                    @Override
                    public void send(int to, LeaseMessage message) {
                        byte[] bytes = LeaseCodec.encode(message);
                        ByteArrayOutputStream before =
                                waiting.computeIfAbsent(to, t -> new ByteArrayOutputStream(Post.ROOM));
                        if (before.size() + bytes.length > Post.ROOM) {
                            seal(to, before);
                        }
                        before.writeBytes(bytes);
                    }

                    @Override
                    public void changed(LeaseChange change) {
                        out.changed(change);
                    }
                });
        return leases;
    }

    private void seal(int to, ByteArrayOutputStream said) {
        out.send(to, post.seal(now, to, LEASES, said.toByteArray()));
        said.reset();
    }

    private void sayOfTasks() {
        waiting.forEach((to, said) -> {
            if (said.size() > 0) {
                seal(to, said);
            }
        });
    }

    /** Begins. */
    public void start(long nowUs) {
        now = nowUs;
        membership.start(nowUs);
        if (leases != null) {
            leases.start(nowUs);
            sayOfTasks();
        }
    }

    /** Time has passed. */
    public void tick(long nowUs) {
        now = nowUs;
        membership.tick(nowUs);
        if (leases != null) {
            leases.tick(nowUs);
            sayOfTasks();
        }
    }

    /** Ends in good order. */
    public void leave(long nowUs) {
        now = nowUs;
        if (leases != null) {
            leases.leave(nowUs);
            sayOfTasks();
        }
        membership.leave(nowUs);
    }

    /**
     * A datagram has come.
     *
     * @param from the number of the member whose address it comes from, or -1
     */
    public void received(long nowUs, int from, byte[] datagram) {
        now = nowUs;
        Post.Opened opened = post.open(nowUs, from, datagram);
        if (opened instanceof Post.Words words) {
            words.again().forEach(d -> out.send(words.from(), d));
        } else if (opened instanceof Post.Body body && body.topic() == MEMBERSHIP) {
            try {
                membership.received(nowUs, from, MessageCodec.decode(body.bytes(), identity.members()));
            } catch (MessageCodec.BadMessage e) {
                unreadable++;
            }
        } else if (opened instanceof Post.Body body && body.topic() == LEASES && leases != null) {
            List<LeaseMessage> messages = LeaseCodec.decode(
                    body.bytes(), identity.members(), leases.tasks().size());
            if (messages == null) {
                unreadable++;
            } else {
                messages.forEach(m -> leases.received(nowUs, from, m));
                sayOfTasks();
            }
        }
        if (from >= 0 && from < twins.length && post.twins(from) > twins[from]) {
            twins[from] = post.twins(from);
            if (twins[from] > 1) {
                out.changed(new Change.Twin(from, "two processes speak as this member in turns"));
            }
        }
    }

    /** Returns the machine, to be looked at. */
    public Membership membership() {
        return membership;
    }

    /** Returns how many datagrams changed nothing, by cause. */
    public Map<Refused, Long> refused() {
        return post.refused();
    }

    /** Returns how many bodies could not be read although their seal was right: another version's, or a mistake. */
    public long unreadable() {
        return unreadable;
    }
}
