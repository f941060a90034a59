package grebehoist.net;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/** A listener of some protocol. Used by the loop's thread, but for {@link #listen}. */
public interface Front {
    /** Begins to accept clients; the future tells whether the address could be had. */
    ChannelFuture listen(Network network, InetSocketAddress address);

    /** From now on each answer is its connection's last, so that the clients go elsewhere. */
    void closeAfterAnswers();

    /**
     * Sends clients elsewhere for a while, or no longer: says that it is not ready, makes each answer its connection's last, and
     * after half a second closes the connections on which nothing is asked. It goes on to listen.
     */
    void sendAway(boolean away);

    /**
     * Accepts all who wait, and no more, as another process listens at the same address from now on; each answer is its
     * connection's last.
     *
     * @param then called once it listens no more
     */
    void handOver(Runnable then);

    /** Accepts all who wait, and no more, and ends the connections on which nothing is asked. */
    void stopListening();

    /** Listens no more, whoever waits to be accepted, and ends the connections on which nothing is asked. */
    void closeListener();

    /** Returns on how many connections an answer is owed, or has yet to be taken by its client. */
    int answering();

    /** Returns whether it listens, or any client is still connected: it waits for an answer, or has not taken it, or not read the end. */
    boolean busy();
}
