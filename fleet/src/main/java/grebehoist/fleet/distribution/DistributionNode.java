package grebehoist.fleet.distribution;

import grebehoist.fleet.wire.KeyRing;
import grebehoist.fleet.wire.Post;
import grebehoist.fleet.wire.Refused;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A control machine or a proxy: the seal on its datagrams, and what it holds. No clock, thread or socket; used by one thread. Times are
 * microseconds of a clock that does not go back.
 */
public final class DistributionNode {
    /** Where datagrams and news go. */
    public interface Output {
        /**
         * Sends a datagram. A proxy sends to machines, whose addresses it knows. A machine sends to other machines, and to a proxy where its
         * last proven datagram came from; while {@link #received} runs, what goes to that datagram's sender goes where it came from.
         */
        void send(int to, byte[] datagram);

        /** Tells what has changed. */
        void changed(DistributionChange change);
    }

    /**
     * Who this is.
     *
     * @param number machines have 0 to m - 1, as in the layout, proxies the numbers from m on
     * @param members machines and proxies together, 65,535 at most
     * @param random must differ from life to life
     */
    public record Setup(
            int number, int members, Layout layout, DistributionTerms terms, KeyRing ring, RandomGenerator random) {}

    private static final int TOPIC = Post.FIRST_TOPIC + 2;

    private final Post post;
    private final Output out;
    private final Outbox outbox;
    private final int machines;
    private Holder holder;
    private Subscriber subscriber;
    private long now;
    private long unreadable;

    private DistributionNode(Setup setup, Output out) {
        this.post = new Post(setup.number(), setup.members(), setup.ring(), setup.random());
        this.out = out;
        this.outbox = new Outbox((to, body) -> out.send(to, post.seal(now, to, TOPIC, body)));
        this.machines = setup.layout().machines().size();
    }

    /** Makes a control machine that is yet to be started. */
    public static DistributionNode machine(Setup setup, Output out) {
        return machine(setup, out, new Rules());
    }

    /** As the other, with other rules: a test puts some in their place. */
    public static DistributionNode machine(Setup setup, Output out, Rules rules) {
        var node = new DistributionNode(setup, out);
        if (setup.number() >= node.machines) {
            throw new IllegalArgumentException("machine " + setup.number() + " of " + node.machines);
        }
        node.holder = new Holder(setup, rules, node.outbox, out::changed);
        return node;
    }

    /** Makes a proxy that subscribes to scopes, yet to be started. */
    public static DistributionNode proxy(Setup setup, List<String> scopes, Output out) {
        return proxy(setup, scopes, out, new Rules());
    }

    /** As the other, with other rules: a test puts some in their place. */
    public static DistributionNode proxy(Setup setup, List<String> scopes, Output out, Rules rules) {
        var node = new DistributionNode(setup, out);
        if (setup.number() < node.machines) {
            throw new IllegalArgumentException("proxy " + setup.number() + " has the number of a control machine: "
                    + node.machines + " at least is wanted");
        }
        node.subscriber = new Subscriber(setup, scopes, rules, node.outbox, out::changed);
        return node;
    }

    /** Begins. */
    public void start(long nowUs) {
        now = nowUs;
        if (holder != null) {
            holder.start(nowUs);
        } else {
            subscriber.start(nowUs);
        }
        outbox.flush();
    }

    /** Time has passed; to be called each {@link DistributionTerms#machineTickUs} or {@link DistributionTerms#proxyTickUs}. */
    public void tick(long nowUs) {
        now = nowUs;
        if (holder != null) {
            holder.tick(nowUs);
        } else {
            subscriber.tick(nowUs);
        }
        outbox.flush();
    }

    /**
     * A datagram has come.
     *
     * @param from at a proxy the number of the machine whose address it comes from, or -1; at a machine the same for another machine's address,
     *        else {@code Post.sender(datagram)}
     * @return whether it is sure who sent it, and that it is new: where it came from is where its sender is
     */
    public boolean received(long nowUs, int from, byte[] datagram) {
        now = nowUs;
        Post.Opened opened = post.open(nowUs, from, datagram);
        if (opened instanceof Post.Words words) {
            words.again().forEach(d -> out.send(words.from(), d));
            return words.proven();
        }
        if (!(opened instanceof Post.Body body)) {
            return false;
        }
        if (body.topic() == TOPIC) {
            List<Message> messages = DistributionCodec.decode(body.bytes());
            if (messages == null) {
                unreadable++;
            } else if (holder != null) {
                messages.forEach(m -> holder.received(nowUs, from, m));
            } else {
                messages.forEach(m -> subscriber.received(nowUs, from, m));
            }
            outbox.flush();
        }
        return true;
    }

    /** Returns what is held; null at a proxy. */
    public Holder holder() {
        return holder;
    }

    /** Returns what is in force; null at a control machine. */
    public Subscriber subscriber() {
        return subscriber;
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
