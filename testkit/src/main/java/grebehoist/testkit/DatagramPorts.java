package grebehoist.testkit;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports on loopback for datagrams of processes that a test starts. They are held by sockets of this process until this is closed: a socket that
 * is opened meanwhile, for whichever port is free, gets none of them. It is closed right before the processes start, as each binds its own.
 */
public final class DatagramPorts implements AutoCloseable {
    private final List<DatagramSocket> held = new ArrayList<>();

    /** Holds so many. */
    public DatagramPorts(int number) throws IOException {
        try {
            for (int i = 0; i < number; i++) {
                held.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /** Returns their addresses. */
    public InetSocketAddress[] addresses() {
        return held.stream()
                .map(socket -> new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort()))
                .toArray(InetSocketAddress[]::new);
    }

    /** Lets go of all. */
    @Override
    public void close() {
        held.forEach(DatagramSocket::close);
    }
}
