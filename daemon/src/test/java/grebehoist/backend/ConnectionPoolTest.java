package grebehoist.backend;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.engine.Timers;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** After how long a connection that was put back is used again. */
class ConnectionPoolTest {
    private static final long MS = 1_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long now = 1_000 * MS;

    private final Timers timers = new Timers() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer at(long atUs, Runnable action) {
            throw new UnsupportedOperationException("the pool sets no timers");
        }

        @Override
        public boolean settling() {
            return false;
        }
    };

    private final ConnectionPool pool = new ConnectionPool(
            new Bootstrap(),
            new AbstractChannelPoolHandler() {
                @Override
                public void channelCreated(Channel created) {}
            },
            timers,
            new Sockets(channel.eventLoop(), new StderrLog(), 1_024));

    private final class Idle implements PooledConnection {
        private long since;

        @Override
        public Channel channel() {
            return channel;
        }

        @Override
        public void begin(PooledAttempt attempt) {}

        @Override
        public boolean moved() {
            return false;
        }

        @Override
        public boolean passOn() {
            return false;
        }

        @Override
        public boolean quiet() {
            return true;
        }

        @Override
        public void idleFrom(long nowUs) {
            since = nowUs;
        }

        @Override
        public long idleUs(long nowUs) {
            return nowUs - since;
        }
    }

    @BeforeEach
    void putBack() {
        channel.attr(PooledConnection.KEY).set(new Idle());
        pool.offerChannel(channel);
    }

    /** Guards against review/2: a second answer 5 ms after the first was taken for proof that a payment had never run. */
    @ParameterizedTest
    @CsvSource({"2, false, false", "3, false, true", "3, true, false", "24, true, false", "25, true, true"})
    void aRequestWithAnEffectWaitsForAllThatMayStillCome(long idleMs, boolean hasEffect, boolean used) {
        now += idleMs * MS;
        assertThat(pool.hasIdle(hasEffect)).isEqualTo(used);
    }

    @Test
    void theSameIsTakenAsIsTold() {
        now += 25 * MS;
        var taken = channel.eventLoop().<Channel>newPromise();
        assertThat(pool.acquireOrConnect(taken, true)).isNull();
        channel.runPendingTasks();
        assertThat(taken.getNow()).isSameAs(channel);
    }
}
