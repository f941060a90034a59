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

    private final Log log;
    private final Runnable paused;
    private final Runnable resume;

    /**
     * Makes one for a listener.
     *
     * @param paused hears that nobody is accepted for a while: whoever is accepted next may have waited
     * @param resume begins to accept again, unless there is another reason not to
     */
    AcceptRetry(Log log, Runnable paused, Runnable resume) {
        this.log = log;
        this.paused = paused;
        this.resume = resume;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.count(Counter.ACCEPT_FAILED);
        if (ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(false);
            paused.run();
            LoopTasks.after(ctx.channel().eventLoop(), log, PAUSE_MS, TimeUnit.MILLISECONDS, resume);
        }
    }
}
