package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.ClientGone;
import beechfall.Balancer.Fail;
import beechfall.Balancer.Send;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send much behind a request and leave: the request is not sent again once they have gone. */
@Timeout(60)
class SendAndLeaveTest {
    private static final int CLIENTS = 12;
    private static final int MOST_AHEAD = 4_000_000;
    /** Longer than an attempt may begin after its client has left. */
    private static final int WORK_MS = 300;

    private static final String BEHIND = "-behind";

    private static Fixture.Module sendingTwice() {
        return (event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && !e.last()) {
                actions.accept(e.attempt() == 0 ? new Send(e.id(), "s0", 0) : new Fail(e.id()));
            }
        };
    }

    private static BlockingQueue<Wire.Message> failing(Peer backend) {
        var seen = new LinkedBlockingQueue<Wire.Message>();
        Peer.background(() -> {
            while (true) {
                Wire wire = backend.accept();
                Peer.background(() -> fail(wire, seen));
            }
        });
        return seen;
    }

    private static void fail(Wire wire, BlockingQueue<Wire.Message> seen) throws IOException {
        for (Wire.Message request = wire.read(); request != null; request = wire.read()) {
            seen.add(request);
            try {
                TimeUnit.MILLISECONDS.sleep(WORK_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            wire.send(Peer.answer("500 Internal Server Error", ""));
        }
    }

    /** Sends a request, the begin of a second one and what else the kernel takes, and leaves. */
    private static void sendAndLeave(Fixture proxy, String id, long bodyBehind) throws IOException {
        String behind = Fixture.post(id + BEHIND, "").replace("Content-Length: 0", "Content-Length: " + bodyBehind);
        try (SocketChannel client = SocketChannel.open(proxy.address)) {
            client.write(ByteBuffer.wrap((Fixture.post(id, "x") + behind).getBytes(StandardCharsets.ISO_8859_1)));
            client.configureBlocking(false);
            var body = ByteBuffer.allocate((int) Math.min(bodyBehind, MOST_AHEAD));
            while (client.write(body) > 0) {
                // There may be room for more.
            }
        }
    }

    /** Guards against review case 4: an end behind more than was read ahead was taken for none, and payments were sent again. */
    @ParameterizedTest
    @ValueSource(longs = {60_000_000, 4_000_000})
    void aPaymentIsNotSentAgainOnceItsClientHasLeft(long bodyBehind) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(sendingTwice(), backend)) {
            BlockingQueue<Wire.Message> seen = failing(backend);
            for (int i = 0; i < CLIENTS; i++) {
                sendAndLeave(proxy, "pay" + i, bodyBehind);
            }
            var gone = new HashSet<String>();
            while (gone.size() < CLIENTS) {
                String id = proxy.next(ClientGone.class).id();
                if (!id.endsWith(BEHIND)) {
                    gone.add(id);
                }
            }
            assertThat(seen)
                    .extracting(request -> request.header("X-Request-ID"))
                    .doesNotHaveDuplicates();
        }
    }
}
