package grebehoist.net;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Executor;

/** An event loop with a thread of its own that keeps a {@link PollHistory}. */
final class PolledEventLoop extends SingleThreadIoEventLoop implements PollHistory.Owner {
    private final PollHistory polls;
    private final ReadAhead readAhead = new ReadAhead();
    private final ReadBudget readBudget = new ReadBudget();

    private PolledEventLoop(
            IoEventLoopGroup parent, Executor executor, IoHandlerFactory handlers, boolean tasksBringData) {
        super(parent, executor, handlers);
        polls = new PollHistory(ticker(), tasksBringData);
    }

    /** Makes a loop for sockets. */
    static EventLoop forSockets() {
        return new Group(NioIoHandler.newFactory(), false).next();
    }

    /** Makes a loop for channels inside the process. */
    static EventLoop inProcess() {
        return new Group(LocalIoHandler.newFactory(), true).next();
    }

    @Override
    public PollHistory polls() {
        return polls;
    }

    /** Returns what its connections have read ahead. */
    ReadAhead readAhead() {
        return readAhead;
    }

    /** Returns what its reads may take. */
    ReadBudget readBudget() {
        return readBudget;
    }

    @Override
    protected int runIo() {
        polls.begins();
        readBudget.turnBegins();
        if (readBudget.hasDeferred()) {
            // A loop that has a task does not wait for events.
            execute(() -> {});
        }
        int events = super.runIo();
        readBudget.handled(ticker().nanoTime());
        readBudget.serveDeferred(ticker()::nanoTime);
        polls.handled(events);
        return events;
    }

    /** The group of one loop, which ends with it. */
    private static final class Group extends MultiThreadIoEventLoopGroup {
        Group(IoHandlerFactory handlers, boolean tasksBringData) {
            super(1, (Executor) null, handlers, tasksBringData);
        }

        @Override
        protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... arguments) {
            return new PolledEventLoop(this, executor, handlers, (boolean) arguments[0]);
        }
    }
}
