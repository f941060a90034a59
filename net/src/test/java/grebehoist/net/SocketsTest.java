package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is accepted and opened at any one moment; the loop's tasks run only where a test says so. */
class SocketsTest {
    private static final int LIMIT = 128;

    private final EmbeddedChannel listener = new EmbeddedChannel();
    private final Sockets sockets = new Sockets(listener.eventLoop(), LIMIT);
    private final List<Channel> clients = new ArrayList<>();

    /** Opens clients for as long as the proxy accepts any. */
    private void crowd() {
        sockets.listener(listener);
        while (listener.config().isAutoRead()) {
            var client = new EmbeddedChannel();
            clients.add(client);
            sockets.clientOpened(client);
        }
    }

    private int openBackends() {
        int opened = 0;
        while (opened < LIMIT && sockets.roomForBackend()) {
            sockets.backendOpened(new EmbeddedChannel());
            opened++;
        }
        return opened;
    }

    /** Clients that came this instant can't be given up yet: they must not take the places of the backends either. */
    @Test
    void aBurstOfClientsLeavesRoomForBackends() {
        crowd();
        assertThat(openBackends()).isPositive();
    }

    @Test
    void staysUnderTheLimit() {
        crowd();
        int backends = openBackends();
        assertThat(backends + clients.stream().filter(Channel::isOpen).count()).isBetween(LIMIT / 2L, LIMIT - 24L);
    }
}
