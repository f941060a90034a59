package grebehoist.thrift;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;

/** One end of a connection that carries frames, played by hand. */
final class FrameWire implements Closeable {
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    FrameWire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    static FrameWire to(InetSocketAddress address) throws IOException {
        return new FrameWire(new Socket(InetAddress.getLoopbackAddress(), address.getPort()));
    }

    /** A backend that is played by hand. */
    static ServerSocket backend() throws IOException {
        var server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
        return server;
    }

    static InetSocketAddress at(ServerSocket server) {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    static FrameWire accept(ServerSocket server) throws IOException {
        return new FrameWire(server.accept());
    }

    FrameWire send(byte[] message) throws IOException {
        return raw(framed(message));
    }

    static byte[] framed(byte[] message) {
        byte[] all = new byte[4 + message.length];
        all[0] = (byte) (message.length >> 24);
        all[1] = (byte) (message.length >> 16);
        all[2] = (byte) (message.length >> 8);
        all[3] = (byte) message.length;
        System.arraycopy(message, 0, all, 4, message.length);
        return all;
    }

    FrameWire raw(byte... bytes) throws IOException {
        out.write(bytes);
        return this;
    }

    /** Reads one frame; null if the connection ends before it begins. */
    byte[] read() throws IOException {
        try {
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            return frame;
        } catch (EOFException | SocketException e) {
            return null;
        }
    }

    boolean quietFor(int ms) throws IOException {
        socket.setSoTimeout(ms);
        try {
            in.read();
            return false;
        } catch (java.net.SocketTimeoutException e) {
            return true;
        } finally {
            socket.setSoTimeout(10_000);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
