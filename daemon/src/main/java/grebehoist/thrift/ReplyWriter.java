package grebehoist.thrift;

import grebehoist.net.AnswerMemory;
import grebehoist.net.ClientFront;
import grebehoist.net.TakeWatch;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.List;

/** Writes the replies of one connection, and keeps account of those that its client has yet to take. Used by the loop's thread alone. */
final class ReplyWriter {
    private final Channel channel;
    private final AnswerMemory.Share answers;
    private final Runnable taken;
    private final TakeWatch takes = ClientFront.takeWatch();
    /** How many bytes have been written. */
    private long given;
    /** Replies that have been written and that the network has yet to take whole. */
    private int untaken;

    private boolean writing;

    /**
     * Makes one for a connection on which nothing has been written.
     *
     * @param answers in which replies are held that are written here
     * @param taken is told of each reply that the network has taken, but for those that it takes while others are being written
     */
    ReplyWriter(Channel channel, AnswerMemory.Share answers, Runnable taken) {
        this.channel = channel;
        this.answers = answers;
        this.taken = taken;
    }

    /** Writes replies in their order; returns what the last one has become, or null where there is none. */
    ChannelFuture write(List<ByteBuf> replies) {
        if (replies.isEmpty()) {
            return null;
        }
        writing = true;
        ChannelFuture last = null;
        for (ByteBuf reply : replies) {
            last = write(reply);
        }
        channel.flush();
        writing = false;
        answers.slow(untaken > 0);
        return last;
    }

    private ChannelFuture write(ByteBuf reply) {
        long bytes = reply.readableBytes();
        given += bytes;
        untaken++;
        return channel.write(reply).addListener(f -> taken(bytes));
    }

    private void taken(long bytes) {
        untaken--;
        answers.letGo(bytes);
        if (!writing) {
            taken.run();
        }
    }

    /** Returns how many replies the network has yet to take whole. */
    int untaken() {
        return untaken;
    }

    /** Returns how many bytes the network has yet to take, or a little more. */
    long unsent() {
        return TakeWatch.unsent(channel);
    }

    /** Returns whether the client has taken too little for too long. */
    boolean stuck(long nowUs) {
        return takes.stuck(given, unsent(), nowUs);
    }
}
