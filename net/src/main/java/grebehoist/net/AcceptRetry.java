package grebehoist.net;

import grebehoist.engine.Counter;
import grebehoist.engine.Log;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a listener accepting where accept(2) fails: ECONNABORTED is the error of one connection, and what the system has too little of
 * (ENFILE, ENOBUFS) may be there a moment later. Netty's own handler stops accepting for a second, in which clients wait unheard.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    /** Long enough not to spin while the system has none left, short beside any client's patience. */
    private static final long PAUSE_MS = 5;

    /** What becomes of a listener that accepts badly. */
    interface Owner {
        /** Begins to accept again, unless there is another reason not to. */
        void resume();
    }

    private final Log log;
    private final Owner owner;

    /** Makes one for a listener. */
    AcceptRetry(Log log, Owner owner) {
        this.log = log;
        this.owner = owner;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.count(Counter.ACCEPT_FAILED);
        if (ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(false);
            LoopTasks.after(ctx.channel().eventLoop(), log, PAUSE_MS, TimeUnit.MILLISECONDS, owner::resume);
        }
    }
}
