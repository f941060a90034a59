package grebehoist.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Since when a client has taken less of what it is given than it has to. What is yet to be taken tells nothing by itself: as long as an
 * answer goes on that is filled up again to the same mark, so that a client that takes it looks like one that does not whenever it is
 * looked at. So what counts is what was given less that.
 */
public final class TakeWatch {
    private final long periodUs;
    private final long leastBytes;
    private long taken = Long.MIN_VALUE;
    private long takenSince;

    /**
     * Makes one for a connection on which nothing has been written.
     *
     * @param periodUs a client has to take the least in each such time in which there is something to take, in microseconds
     * @param leastBytes how much that is
     */
    public TakeWatch(long periodUs, long leastBytes) {
        this.periodUs = periodUs;
        this.leastBytes = leastBytes;
    }

    /** Returns how many bytes the network has yet to take of what has been written on a channel, or a little more. */
    public static long unsent(Channel channel) {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes() - out.currentProgress();
    }

    /**
     * Returns whether the client has taken too little for too long.
     *
     * @param given bytes written so far
     * @param untaken bytes of these that the network has yet to take
     * @param nowUs the time, in microseconds
     */
    public boolean stuck(long given, long untaken, long nowUs) {
        if (untaken == 0 || taken == Long.MIN_VALUE || given - untaken - taken >= leastBytes) {
            taken = given - untaken;
            takenSince = nowUs;
        }
        return nowUs - takenSince > periodUs;
    }
}
