package grebehoist.testkit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Addresses on loopback for processes that a test starts, and starts again at the same place. A port that was only found to be free may be given to any
 * connection that is opened before the process listens, of another test too. So each is held by a socket that does not listen, until this process ends:
 * the kernel gives it to no connection (ip(7), {@code ip_local_port_range}), and who listens with SO_REUSEADDR may have it (socket(7)).
 */
public final class ReservedAddress {
    private static final List<SocketChannel> HELD = new ArrayList<>();

    private ReservedAddress() {}

    /** Returns an address that nobody else is given. */
    public static synchronized InetSocketAddress next() throws IOException {
        SocketChannel holder = SocketChannel.open();
        HELD.add(holder);
        holder.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        holder.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return (InetSocketAddress) holder.getLocalAddress();
    }
}
