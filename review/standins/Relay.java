import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** The network between two server rooms: each byte comes so much later on the other side, and so does the end. */
final class Relay implements AutoCloseable {
    private record Piece(byte[] bytes, long dueNs) {}

    private final ServerSocket listener;
    private final long delayNs;

    /** Begins to listen on a free port. */
    Relay(String to, long delayUs) throws IOException {
        delayNs = delayUs * 1_000;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1_024);
        int port = Integer.parseInt(to.split(":")[1]);
        Threads.start(() -> {
            while (!listener.isClosed()) {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                Threads.start(() -> {
                    var far = new Socket(InetAddress.getByName("127.0.0.1"), port);
                    far.setTcpNoDelay(true);
                    pass(near, far);
                    pass(far, near);
                });
            }
        });
    }

    private void pass(Socket from, Socket to) {
        var pieces = new LinkedBlockingQueue<Piece>();
        Threads.start(() -> {
            byte[] buffer = new byte[64 * 1024];
            try {
                for (int n = from.getInputStream().read(buffer); n > 0; n = from.getInputStream().read(buffer)) {
                    byte[] bytes = new byte[n];
                    System.arraycopy(buffer, 0, bytes, 0, n);
                    pieces.add(new Piece(bytes, System.nanoTime() + delayNs));
                }
            } finally {
                pieces.add(new Piece(null, System.nanoTime() + delayNs));
            }
        });
        Threads.start(() -> {
            try {
                while (true) {
                    Piece piece = pieces.take();
                    for (long left = piece.dueNs - System.nanoTime(); left > 0; left = piece.dueNs - System.nanoTime()) {
                        LockSupport.parkNanos(left);
                    }
                    if (piece.bytes == null) {
                        to.shutdownOutput();
                        return;
                    }
                    to.getOutputStream().write(piece.bytes);
                }
            } catch (IOException e) {
                from.close();
                to.close();
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
