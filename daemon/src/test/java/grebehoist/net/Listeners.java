package grebehoist.net;

import io.netty.bootstrap.ServerBootstrap;
import java.util.concurrent.Executor;

/** Listeners as the program has them, whose calls of accept(2) a test has in its hands. */
public final class Listeners {
    private static final int BACKLOG = 1_024;

    private Listeners() {}

    /** Returns the sockets of this machine; each call of accept(2) is handed to an executor, which may reject it. */
    public static Network acceptingBy(Executor accepts) {
        Network sockets = Network.sockets();
        return new Network(
                sockets.loop(),
                new ServerBootstrap().group(sockets.loop()).channelFactory(() -> new ListeningSocket(accepts, BACKLOG)),
                sockets.client(),
                sockets.addresses());
    }
}
