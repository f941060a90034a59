package grebehoist.thrift;

import beechfall.Balancer;
import grebehoist.engine.Intake;
import grebehoist.engine.Log;
import grebehoist.net.AnswerMemory;
import grebehoist.net.ClientFront;
import grebehoist.net.LoopTimers;
import grebehoist.net.Sockets;
import io.netty.util.internal.PlatformDependent;
import java.util.LinkedHashMap;
import java.util.Map;

/** One listener for Thrift clients: takes calls in, turns bad ones away, and gives each good one exactly one reply. */
public final class ThriftFront extends ClientFront<ThriftClientConnection> {
    /** Open calls, and frames that have not come whole, may each take so much of the memory for buffers, whatever the settings say. */
    private static final double PART_OF_DIRECT_MEMORY = 0.2;

    private final ThriftOptions options;
    private final long mostOpenBytes;
    private final long mostHalfBytes;
    private final CallReader reader;
    private final ReplySizes replySizes;
    /** Connections in the middle of a frame, and the bytes that it takes; whoever began first comes first. */
    private final Map<ThriftClientConnection, Integer> halves = new LinkedHashMap<>();

    private long bytesHalf;
    private long bytesOpen;
    private boolean full;

    /**
     * Makes a front that is yet to listen.
     *
     * @param settings the pool's classes and tenants
     * @param idPrefix ahead of the ids of requests that bring none; no two listeners of a pool may have the same
     */
    public ThriftFront(
            LoopTimers timers,
            Log log,
            Intake intake,
            Sockets sockets,
            AnswerMemory answers,
            Balancer.Settings settings,
            ThriftOptions options,
            String idPrefix) {
        super(timers, log, intake, sockets, answers);
        this.replySizes = new ReplySizes(options.maxFrame());
        this.options = options;
        long part = (long) (PART_OF_DIRECT_MEMORY * PlatformDependent.maxDirectMemory());
        this.mostOpenBytes = Math.min(options.maxOpenBytesInAll(), part);
        this.mostHalfBytes = Math.min(options.maxHalfBytesInAll(), part);
        this.reader = new CallReader(settings, options, idPrefix);
    }

    @Override
    protected ThriftClientConnection connection() {
        return new ThriftClientConnection(this, sockets());
    }

    /** Counts the bytes of open calls; when they fall below the bound, whoever had to wait goes on. */
    void bytesOpen(long more) {
        bytesOpen += more;
        if (bytesOpen >= mostOpenBytes) {
            full = true;
        } else if (full && bytesOpen < mostOpenBytes / 2) {
            full = false;
            connections().forEach(ThriftClientConnection::pace);
        }
    }

    /**
     * A connection holds so many bytes of a frame that has not come whole; 0 for none. Past the bound the one that began first
     * is cut off: whoever means it is through by then, and whoever holds memory for nothing began long ago.
     */
    void half(ThriftClientConnection connection, int bytes) {
        Integer before = bytes == 0 ? halves.remove(connection) : halves.put(connection, bytes);
        bytesHalf += bytes - (before == null ? 0 : before);
        while (bytesHalf > mostHalfBytes) {
            ThriftClientConnection oldest = halves.keySet().iterator().next();
            bytesHalf -= halves.remove(oldest);
            oldest.cutOff();
        }
    }

    /** Returns how many bytes are held of frames that have not come whole. */
    long bytesHalf() {
        return bytesHalf;
    }

    /** Returns whether the calls that are open take all the memory that they may. */
    boolean full() {
        return full;
    }

    CallReader reader() {
        return reader;
    }

    ReplySizes replySizes() {
        return replySizes;
    }

    ThriftOptions options() {
        return options;
    }
}
