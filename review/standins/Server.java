import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server on a free port of 127.0.0.1 that gives each connection a thread and hands its requests on one by one. */
final class Server implements AutoCloseable {
    /** What is done with a request. */
    interface Handler {
        /** Returns whether the connection is read on. */
        boolean handle(Socket connection, InputStream in, Http request) throws Exception;
    }

    private final ServerSocket listener;

    Server(Handler handler) throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1_024);
        Threads.start(() -> {
            while (!listener.isClosed()) {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                Threads.start(() -> serve(connection, handler));
            }
        });
    }

    private static void serve(Socket connection, Handler handler) throws Exception {
        try (connection) {
            var in = new BufferedInputStream(connection.getInputStream());
            boolean on = true;
            while (on) {
                Http request = Http.read(in);
                on = request != null && handler.handle(connection, in, request);
            }
        } catch (IOException e) {
            // The other side has ended it: that is its right.
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
