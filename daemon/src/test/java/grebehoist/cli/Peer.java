package grebehoist.cli;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A backend, or discovery, played by hand: the test accepts its connections and says what goes over them. */
public final class Peer implements Closeable {
    private static final int BACKLOG = 50;
    private static final int NARROW_BYTES = 4 * 1024;

    private final ServerSocket server;
    private final List<Wire> open = new ArrayList<>();

    public Peer() throws IOException {
        this(new ServerSocket());
    }

    private Peer(ServerSocket server) throws IOException {
        this.server = server;
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setSoTimeout(10_000);
    }

    /** One whose kernel holds little of what it has not read. */
    public static Peer narrow() throws IOException {
        var server = new ServerSocket();
        server.setReceiveBufferSize(NARROW_BYTES);
        return new Peer(server);
    }

    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public Wire accept() throws IOException {
        var wire = new Wire(server.accept());
        synchronized (open) {
            open.add(wire);
        }
        return wire;
    }

    /** Answers every request in the same way from now on, on threads of its own; returns the requests as they come. */
    public BlockingQueue<Wire.Message> always(String answer) {
        var seen = new LinkedBlockingQueue<Wire.Message>();
        serveAll(wire -> {
            try (wire) {
                for (Wire.Message m = wire.read(); m != null; m = wire.read()) {
                    seen.add(m);
                    wire.send(answer);
                }
            }
        });
        return seen;
    }

    /** What is done on one connection. */
    public interface Service {
        void serve(Wire connection) throws IOException;
    }

    /** Serves every connection on a thread of its own until this is closed, however long none comes. */
    public void serveAll(Service service) {
        background(() -> {
            while (!server.isClosed()) {
                try {
                    Wire connection = accept();
                    background(() -> service.serve(connection));
                } catch (SocketTimeoutException e) {
                    // Nobody has come for a while.
                }
            }
        });
    }

    public static String ok(String body) {
        return answer("200 OK", body);
    }

    public static String answer(String status, String body, String... headers) {
        return "HTTP/1.1 " + status + "\r\n" + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    public static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(10, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing came");
        }
        return next;
    }

    /** What runs on a thread of its own; its end is not waited for. */
    public interface Work {
        void run() throws IOException;
    }

    public static void background(Work work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The test is over, or the other side has hung up: either way there is nothing more to answer.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    public int port() {
        return ((InetSocketAddress) server.getLocalSocketAddress()).getPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        synchronized (open) {
            for (Wire wire : open) {
                wire.close();
            }
        }
    }
}
