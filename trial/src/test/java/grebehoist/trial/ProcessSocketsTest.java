package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;

class ProcessSocketsTest {
    private static final long SELF = ProcessHandle.current().pid();

    /** For IPv4 alone, as the processes of the program are. */
    private static ServerSocketChannel server() throws IOException {
        return ServerSocketChannel.open(StandardProtocolFamily.INET)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private static int port(ServerSocketChannel server) throws IOException {
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    private static SocketChannel connect(ServerSocketChannel server) throws IOException {
        SocketChannel client = SocketChannel.open(StandardProtocolFamily.INET);
        client.connect(server.getLocalAddress());
        return client;
    }

    @Test
    void tellsTheOtherEndsOfWhatAProcessHasAccepted() throws IOException {
        try (var server = server();
                var another = server();
                var first = connect(server);
                var second = connect(server);
                var elsewhere = connect(another);
                var firstAccepted = server.accept();
                var elsewhereAccepted = another.accept()) {
            SocketChannel secondAccepted = server.accept();
            assertThat(elsewhere.isConnected() && elsewhereAccepted.isConnected())
                    .isTrue();
            assertThat(ProcessSockets.clientPorts(SELF, port(server)))
                    .contains(
                            ((InetSocketAddress) first.getLocalAddress()).getPort(),
                            ((InetSocketAddress) second.getLocalAddress()).getPort())
                    .doesNotContain(((InetSocketAddress) elsewhere.getLocalAddress()).getPort());
            int gone = ((InetSocketAddress) secondAccepted.getRemoteAddress()).getPort();
            secondAccepted.close();
            assertThat(ProcessSockets.clientPorts(SELF, port(server)))
                    .contains(((InetSocketAddress) firstAccepted.getRemoteAddress()).getPort())
                    .doesNotContain(gone);
        }
    }

    @Test
    void aProcessThatHasEndedHoldsNone() throws Exception {
        Process ended = new ProcessBuilder("true").start();
        ended.waitFor();
        assertThat(ProcessSockets.clientPorts(ended.pid(), 80)).isEmpty();
    }
}
