package grebehoist.backend;

import beechfall.Balancer.Outcome;
import grebehoist.engine.Attempt;
import grebehoist.engine.Payload;
import grebehoist.net.LoopChannels;
import grebehoist.net.SocketPeek;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

/** One attempt, from the wish for a connection to its end. */
public abstract class PooledAttempt implements Attempt {
    /** How long a write waits, again and again, while the loop takes in what came when it was held up. */
    private static final long SETTLE_US = 2_000;

    private final PooledTransport.Target target;
    private final End end;
    private final long deadlineUs;
    private ChannelFuture connecting;
    private Channel channel;
    private boolean written;
    private boolean ended;

    /**
     * Makes an attempt that is yet to be started.
     *
     * @param deadlineUs when its backend has to have answered
     */
    protected PooledAttempt(PooledTransport.Target target, long deadlineUs, End end) {
        this.target = target;
        this.deadlineUs = deadlineUs;
        this.end = end;
    }

    /** Makes what is to be written; the channel takes it over. */
    protected abstract Object message(Channel on);

    /** Writes it; the future is done once its last byte has been handed to the network. */
    protected ChannelFuture send(Channel on) {
        return on.writeAndFlush(message(on));
    }

    /** It has been written whole. */
    protected void whole() {}

    @Override
    public final void start() {
        target.begun(this);
        Promise<Channel> promise = target.loop().newPromise();
        connecting = target.pool().acquireOrConnect(promise, end.hasEffect());
        promise.addListener((Future<Channel> f) -> connected(f));
    }

    @Override
    public final boolean mayHaveRun() {
        return written;
    }

    /** What has come and is yet to be read counts: an answer that waits in the kernel is no time-out. */
    @Override
    public final boolean answering() {
        return channel != null
                && written
                && !ended
                && (channel.attr(PooledConnection.KEY).get().moved() || SocketPeek.hasUnread(channel));
    }

    private void connected(Future<Channel> f) {
        connecting = null;
        if (!f.isSuccess()) {
            // That this process had no socket says nothing against the backend.
            end(f.cause() instanceof ChannelException ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED, null);
        } else if (ended) {
            f.getNow().close();
        } else if (target.timers().settling()) {
            // It came up while the loop was held up: that its client has left, or its backend drains, may be yet to be
            // read.
            target.timers().at(target.timers().now() + SETTLE_US, () -> connected(f));
        } else {
            channel = f.getNow();
            try {
                write();
            } catch (RuntimeException e) {
                // A request that can't be written down has gone nowhere; nobody else must suffer for it.
                abort(Outcome.NOT_SENT);
            }
        }
    }

    private void giveBack() {
        Channel unused = channel;
        channel = null;
        if (target.reuses()) {
            target.pool().release(unused);
        } else {
            unused.close();
        }
    }

    private void write() {
        if (!end.mayBegin(deadlineUs)) {
            // Nothing has been written on it: the connection is as good as new.
            giveBack();
            end(Outcome.NOT_SENT, null);
            return;
        }
        channel.attr(PooledConnection.KEY).get().begin(this);
        send(channel).addListener(f -> {
            written = f.isSuccess();
            if (written) {
                end.written();
                whole();
            } else {
                abort(Outcome.CONNECT_FAILED);
            }
        });
    }

    /** Its connection is closed before anybody hears: no other attempt goes out beside it. */
    @Override
    public final void abort(Outcome outcome) {
        if (ended
                || outcome == Outcome.TIMEOUT
                        && channel != null
                        && channel.attr(PooledConnection.KEY).get().passOn()) {
            return;
        }
        // The close fails a write that is under way, and that is not to end it a second time.
        ended = true;
        if (channel != null) {
            // What the kernel has yet to send of the attempt is dropped, where an orderly close would send it on.
            LoopChannels.reset(channel);
        } else if (connecting != null) {
            LoopChannels.close(connecting);
        }
        report(outcome, null);
    }

    /** What has come from the other side ends it. The answer, if any, is the receiver's to release. */
    public final void end(Outcome outcome, Payload answer) {
        if (!ended) {
            ended = true;
            report(outcome, answer);
        } else if (answer != null) {
            answer.release();
        }
    }

    private void report(Outcome outcome, Payload answer) {
        target.ended(this);
        end.ended(outcome, answer);
    }
}
