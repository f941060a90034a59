package grebehoist.backend;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/** A connection to a backend, which carries one attempt at a time. */
public interface PooledConnection {
    /** Where a channel keeps it. */
    AttributeKey<PooledConnection> KEY = AttributeKey.valueOf(PooledConnection.class, "connection");

    /** Returns its channel. */
    Channel channel();

    /** The attempt is about to be written. */
    void begin(PooledAttempt attempt);

    /**
     * Returns whether its attempt's answer has begun to come and has moved since this was last asked.
     */
    boolean moved();

    /**
     * The attempt's time is up. Where an answer has begun whose first bytes are what counts, it is passed on from here, which ends
     * the attempt.
     *
     * @return whether that was so
     */
    boolean passOn();

    /** Returns whether its backend has neither ended it nor said anything unasked, by what the kernel holds. */
    boolean quiet();

    /** It carries nothing from now on. */
    void idleFrom(long nowUs);

    /** Returns for how long it has carried nothing, in microseconds. */
    long idleUs(long nowUs);
}
