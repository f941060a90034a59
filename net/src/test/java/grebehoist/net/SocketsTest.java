package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What is accepted and opened at any one moment; the loop's tasks run only where a test says so. */
class SocketsTest {
    private static final int LIMIT = 128;
    /** Two clients more than there are places: they wait among the 32 that are accepted beyond. */
    private static final int LOBBY_LEFT = 30;

    private final EmbeddedChannel listener = new EmbeddedChannel();
    private final Sockets sockets = new Sockets(listener.eventLoop(), new StderrLog(), LIMIT);
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

    /** Closed at once, it would be reset if anything has come on it: it is asked to end in order, and has a moment for that. */
    @Test
    void aConnectionWhosePlaceIsWantedIsAskedToEndFirst() {
        listener.freezeTime();
        var asked = new ArrayList<Object>();
        var resting = new EmbeddedChannel(new ChannelInboundHandlerAdapter() {
            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                asked.add(event);
            }
        });
        sockets.clientOpened(resting);
        sockets.clientIdle(resting);
        crowd();
        listener.runPendingTasks();
        assertThat(asked).containsExactly(Sockets.PART);
        assertThat(resting.isOpen()).isTrue();
        // As if it had not heard: a moment later its place is taken.
        listener.advanceTimeBy(25, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertThat(resting.isOpen()).isFalse();
    }

    /** Guards against review case 3: a request that has begun to come keeps its place, and no more are refused than places are wanted. */
    @Test
    void noMoreRequestsAreRefusedThanPlacesAreWanted() {
        listener.freezeTime();
        var refused = new ArrayList<Channel>();
        var reading = new ArrayList<Channel>();
        while (sockets.roomForClients() > LOBBY_LEFT) {
            var client = new EmbeddedChannel(new ChannelInboundHandlerAdapter() {
                @Override
                public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                    refused.add(ctx.channel());
                    sockets.clientRefused(ctx.channel());
                }
            });
            reading.add(client);
            sockets.clientOpened(client);
            sockets.clientReading(client);
        }
        listener.runPendingTasks();
        assertThat(refused).as("they have just begun").isEmpty();
        listener.advanceTimeBy(600, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertThat(refused).as("the oldest, one for each place").containsExactlyElementsOf(reading.subList(0, 2));
    }

    @Test
    void staysUnderTheLimit() {
        crowd();
        int backends = openBackends();
        assertThat(backends + clients.stream().filter(Channel::isOpen).count()).isBetween(LIMIT / 2L, LIMIT - 24L);
    }
}
