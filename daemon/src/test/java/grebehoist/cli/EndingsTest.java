package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.ClientGone;
import beechfall.Balancer.Fail;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Send;
import beechfall.Balancer.Watch;
import grebehoist.net.Listeners;
import grebehoist.net.Network;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * The instants in which a connection, a process or a watch ends while something is still owed. The bad order is made, not waited for: the
 * proxy's loop stands still until what has to come in between is in the kernel.
 */
class EndingsTest {
    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    /** A proxy of so many descriptors has places for 40 clients, and 32 that wait. */
    private static final int SOCKETS = 128;

    private static final int PLACES = 72;

    /** Holds the proxy's loop up, from inside the module, as the requests of some ids arrive. */
    private static final class Gate {
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch open = new CountDownLatch(1);

        void hold() {
            reached.countDown();
            try {
                if (!open.await(10, TimeUnit.SECONDS)) {
                    throw new IllegalStateException("the test has not gone on");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void awaitReached() throws InterruptedException {
            assertThat(reached.await(10, TimeUnit.SECONDS)).isTrue();
        }

        void open() {
            open.countDown();
        }
    }

    private static Fixture.Module holding(String id, Gate gate, Fixture.Module then) {
        return (event, actions) -> {
            if (event instanceof Arrival a && a.id().equals(id)) {
                gate.hold();
            }
            then.handle(event, actions);
        };
    }

    /** Sends all but those whose ids say that they are to be held. */
    private static Fixture.Module exceptHeld() {
        return (event, actions) -> {
            if (!(event instanceof Arrival a && a.id().startsWith("held"))) {
                Fixture.sendTo("s0").handle(event, actions);
            }
        };
    }

    private static void close(List<Wire> wires) throws IOException {
        for (Wire wire : wires) {
            wire.close();
        }
    }

    /**
     * Returns whether a connection ends in order: nothing more comes, and what still goes to the proxy is read there and dropped. A close
     * would answer the first of it with a reset, and the system drops with that what the other side has not taken yet.
     */
    private static boolean endsInOrder(Wire wire) throws IOException {
        if (wire.socket.getInputStream().read() >= 0) {
            return false;
        }
        try {
            for (int i = 0; i < 3; i++) {
                wire.send(Fixture.get("late" + i));
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** What is asked on a connection whose end this side has begun is not taken: nothing of it may go to a backend. */
    @Test
    void aRequestThatCrossesTheEndOfItsConnectionIsNotSentOn() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            var seen = backend.always(Peer.ok("x"));
            client.send(Fixture.get("r1")).read();
            assertThat(endsInOrder(client)).isTrue();
            try (var other = proxy.client()) {
                assertThat(other.send(Fixture.get("r2")).read().status()).isEqualTo(200);
            }
            assertThat(seen).extracting(m -> m.header("X-Request-ID")).containsExactly("r1", "r2");
            assertThat(proxy.events).filteredOn(Arrival.class::isInstance).hasSize(2);
        }
    }

    /** All places were taken, so a client waited to be accepted, and left: its request is there to be read all the same. */
    @Test
    void aClientThatLeftWhileItWaitedToBeAcceptedIsNotServed() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture(exceptHeld(), SOCKETS, 15_000_000, backend)) {
            var seen = backend.always(Peer.ok("x"));
            for (int i = 0; i < PLACES; i++) {
                crowd.add(proxy.client().send(Fixture.get("held" + i)));
            }
            for (int i = 0; i < PLACES; i++) {
                proxy.next(Arrival.class);
            }
            proxy.client().send(Fixture.get("left")).close();
            Wire stays = proxy.client().send(Fixture.get("stays"));
            close(crowd);
            assertThat(stays.read().status()).isEqualTo(200);
            assertThat(seen).extracting(m -> m.header("X-Request-ID")).containsExactly("stays");
            stays.close();
        } finally {
            close(crowd);
        }
    }

    private static List<Wire> idleCrowd(Fixture proxy, int clients) throws IOException {
        var crowd = new ArrayList<Wire>();
        for (int i = 0; i < clients; i++) {
            crowd.add(proxy.client());
        }
        return crowd;
    }

    /** Guards against review case 3: where places ran short, requests that had been read in part were closed with no answer. */
    @Test
    void aRequestInTwoPiecesIsAnsweredWhileIdleClientsCrowd() throws Exception {
        List<Wire> crowd = List.of();
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), SOCKETS, 15_000_000, backend)) {
            backend.always(Peer.ok("x"));
            String request = Fixture.get("r1");
            Wire client = proxy.client().send(request.substring(0, 20));
            crowd = idleCrowd(proxy, PLACES);
            // The oldest of those that rest is the first to be given up.
            assertThat(crowd.get(0).ended()).isTrue();
            assertThat(client.send(request.substring(20)).read().status()).isEqualTo(200);
            client.close();
        } finally {
            close(crowd);
        }
    }

    /** As the one before, where the first piece came behind a request that had come whole. */
    @Test
    void aRequestThatBeganBehindAnotherIsAnsweredWhileIdleClientsCrowd() throws Exception {
        List<Wire> crowd = List.of();
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), SOCKETS, 15_000_000, backend)) {
            backend.always(Peer.ok("x"));
            String request = Fixture.get("r2");
            Wire client = proxy.client().send(Fixture.get("r1") + request.substring(0, 20));
            assertThat(client.read().status()).isEqualTo(200);
            crowd = idleCrowd(proxy, PLACES);
            assertThat(crowd.get(0).ended()).isTrue();
            assertThat(client.send(request.substring(20)).read().status()).isEqualTo(200);
            client.close();
        } finally {
            close(crowd);
        }
    }

    /** Half requests by the hundred take no place for long: the oldest are refused, and their clients read that. */
    @Test
    void aRequestThatComesSlowlyIsRefusedWhereItsPlaceIsWanted() throws Exception {
        var slow = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), SOCKETS, 15_000_000, backend)) {
            backend.always(Peer.ok("x"));
            for (int i = 0; i < PLACES; i++) {
                slow.add(proxy.client().send(Fixture.get("slow" + i).substring(0, 20)));
            }
            try (Wire client = proxy.client().send(Fixture.get("r1"))) {
                assertThat(slow.get(0).read().status()).isEqualTo(503);
                assertThat(client.read().status()).isEqualTo(200);
            }
        } finally {
            close(slow);
        }
    }

    /** The soak's seed 5310: accept(2) failed for a while, and whoever waited meanwhile was taken for fresh when it worked again. */
    @Test
    void aClientThatLeftWhileAcceptFailedIsNotServed() throws Exception {
        var failing = new AtomicBoolean();
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), acceptFailsWhile(failing), backend)) {
            var seen = backend.always(Peer.ok("x"));
            // A connection to the backend that is there is written to at once.
            try (Wire first = proxy.client().send(Fixture.get("first"))) {
                assertThat(first.read().status()).isEqualTo(200);
            }
            failing.set(true);
            proxy.client().send(Fixture.get("left")).close();
            try (Wire stays = proxy.client().send(Fixture.get("stays"))) {
                // Netty's own answer to a failed accept is a pause of a second.
                long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();
                }
                failing.set(false);
                assertThat(stays.read().status()).isEqualTo(200);
            }
            assertThat(seen).extracting(m -> m.header("X-Request-ID")).containsExactly("first", "stays");
        }
    }

    /** The soak's seed 5319: the loop is held up between accepting a client and reading its request, and idle connections are due to end. */
    @Test
    void aRequestThatWaitsBehindAHoldUpIsNotTakenForRest() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), heldUpAfterAccept(), backend)) {
            backend.always(Peer.ok("x"));
            proxy.sendAway();
            // Idle connections end from half a second on, every tenth of a second: some of these fall between accepting
            // and reading a client.
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
            for (int i = 0; System.nanoTime() < until; i++) {
                try (Wire client = proxy.client().send(Fixture.get("r" + i))) {
                    assertThat(client.read()).as("request %d is answered", i).isNotNull();
                }
            }
        }
    }

    private static Network heldUpAfterAccept() {
        Network sockets = Network.sockets();
        ServerBootstrap server = new ServerBootstrap()
                .group(sockets.loop())
                .channelFactory(() -> new NioServerSocketChannel() {
                    @Override
                    protected int doReadMessages(List<Object> accepted) throws Exception {
                        SocketChannel socket = javaChannel().accept();
                        if (socket == null) {
                            return 0;
                        }
                        accepted.add(new NioSocketChannel(this, socket) {
                            private boolean held;

                            @Override
                            protected void doBeginRead() throws Exception {
                                if (!held) {
                                    held = true;
                                    TimeUnit.MILLISECONDS.sleep(40);
                                }
                                super.doBeginRead();
                            }
                        });
                        return 1;
                    }
                })
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator());
        return new Network(sockets.loop(), server, sockets.client(), sockets.addresses());
    }

    private static Network acceptFailsWhile(AtomicBoolean failing) {
        return Listeners.acceptingBy(call -> {
            if (failing.get()) {
                throw new RejectedExecutionException("accept: too many open files in system");
            }
            new Thread(call).start();
        });
    }

    /** It sends more than is dropped at any speed behind a request that waits, and goes: that is seen behind all of it. */
    @Test
    void aClientThatSendsMuchAndGoesIsNoticed() throws Exception {
        try (var proxy = new Fixture((event, actions) -> {})) {
            try (var client = proxy.client()) {
                client.send(Fixture.get("r1"));
                proxy.next(Arrival.class);
                for (int i = 0; i < 16; i++) {
                    client.send("x".repeat(32 * 1024));
                }
            }
            long left = System.nanoTime();
            assertThat(proxy.next(ClientGone.class).id()).isEqualTo("r1");
            // And not when its time is over.
            assertThat(System.nanoTime() - left).isLessThan(1_000_000_000);
        }
    }

    /** The same, but it stays: it has its answer whole, and the connection ends in order though it goes on sending. */
    @Test
    void aFloodBehindARequestDoesNotCostItsAnswer() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            for (int i = 0; i < 16; i++) {
                client.send("x".repeat(32 * 1024));
            }
            attempt.send(Peer.ok("x"));
            client.send("x".repeat(64 * 1024));
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(endsInOrder(client)).isTrue();
        }
    }

    /**
     * Connections to a backend come up, and their clients leave, while the loop stands still: whichever of the two it finds first, nothing is
     * written for who has gone.
     */
    @Test
    void nothingIsWrittenForClientsThatLeftWhileTheLoopStoodStill() throws Exception {
        var before = new Gate();
        var gate = new Gate();
        var clients = new ArrayList<Wire>();
        try (var accepts = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Members m && m.kind() == ListKind.CACHED) {
                                actions.accept(new Watch(true));
                            }
                            holding("before", before, holding("r19", gate, Fixture.sendTo("s1")))
                                    .handle(event, actions);
                        },
                        backend)) {
            Wire watch = proxy.discovery.accept();
            watch.read();
            watch.send(Peer.ok(
                    Fixture.list(42, false, Fixture.entry("s1", "127.0.0.1:" + accepts.getLocalPort(), "ready"))));
            proxy.discovery.accept().read();
            // In one read and one after the other, so that all connects but the last have begun when the loop stops,
            // and none is up.
            for (int i = 0; i < 20; i++) {
                clients.add(proxy.client());
                clients.get(i).send(READY).read();
            }
            Wire holds = proxy.client().send(Fixture.get("before"));
            clients.add(holds);
            before.awaitReached();
            for (int i = 0; i < 20; i++) {
                clients.get(i).send(Fixture.get("r" + i));
            }
            before.open();
            gate.awaitReached();
            close(clients);
            long left = System.nanoTime();
            while (System.nanoTime() - left < 100_000_000) {
                Thread.onSpinWait();
            }
            gate.open();
            for (int i = 0; i < 21; i++) {
                assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.CANCELLED);
            }
            Wire stays = proxy.client().send(Fixture.get("stays"));
            clients.add(stays);
            Wire.Message written = null;
            while (written == null) {
                try (var wire = new Wire(accepts.accept())) {
                    written = wire.read();
                }
            }
            assertThat(written.header("X-Request-ID"))
                    .as("the first that was written")
                    .isEqualTo("stays");
        } finally {
            close(clients);
        }
    }

    /** The end of an idle connection waits to be read as a request comes: it goes out on another. */
    @Test
    void aConnectionThatItsBackendHasEndedIsNotWrittenTo() throws Exception {
        var gate = new Gate();
        try (var backend = new Peer();
                var proxy = new Fixture(holding("held", gate, Fixture.sendTo("s0")), backend);
                Wire client = proxy.client()) {
            client.send(Fixture.get("first"));
            Wire idle = backend.accept();
            idle.read();
            idle.send(Peer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            long settled = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
            while (System.nanoTime() < settled) {
                Thread.onSpinWait();
            }
            client.send(Fixture.get("held"));
            gate.awaitReached();
            idle.close();
            gate.open();
            Wire fresh = backend.accept();
            assertThat(fresh.read().header("X-Request-ID")).isEqualTo("held");
            fresh.send(Peer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    /** An answer waits to be read as its attempt's time runs out: it is the answer. */
    @Test
    void anAnswerThatWaitsBehindATimeOutIsTaken() throws Exception {
        var gate = new Gate();
        Fixture.Module module = holding("held", gate, (event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 100_000));
            } else if (event instanceof AttemptEnded e && !e.last()) {
                actions.accept(new Fail(e.id()));
            }
        });
        try (var backend = new Peer();
                var proxy = new Fixture(module, backend);
                Wire client = proxy.client();
                Wire other = proxy.client()) {
            client.send(Fixture.get("first"));
            Wire answers = backend.accept();
            answers.read();
            other.send(Fixture.get("held"));
            gate.awaitReached();
            answers.send(Peer.ok("x"));
            long late = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(110);
            while (System.nanoTime() < late) {
                Thread.onSpinWait();
            }
            gate.open();
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    /** A process that ends stops listening while somebody waits to be accepted, as its loop was held up: all of them are served. */
    @Test
    void whoWaitsToBeAcceptedIsServedBeforeTheListenerCloses() throws Exception {
        var gate = new Gate();
        var waiting = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture(holding("stop", gate, Fixture.sendTo("s0")), backend)) {
            backend.always(Peer.ok("x"));
            waiting.add(proxy.client().send(Fixture.get("stop")));
            gate.awaitReached();
            long signal = System.nanoTime();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            for (int i = 0; i < 5; i++) {
                waiting.add(proxy.client().send(Fixture.get("w" + i)));
            }
            // Longer than new clients come after the signal.
            while (System.nanoTime() - signal < 700_000_000) {
                Thread.onSpinWait();
            }
            gate.open();
            for (Wire wire : waiting) {
                assertThat(wire.read().status()).isEqualTo(200);
                assertThat(endsInOrder(wire)).isTrue();
            }
            close(waiting);
            drained.get(10, TimeUnit.SECONDS);
        } finally {
            close(waiting);
        }
    }

    /** Clients that ask nothing fill what descriptors there are while discovery is down: its next call has one all the same. */
    @Test
    void idleClientsLeaveDiscoveryItsDescriptor() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Members m
                                    && (m.kind() == ListKind.CACHED || m.kind() == ListKind.FAILED)) {
                                actions.accept(new Watch(true));
                            }
                            Fixture.sendTo("s0").handle(event, actions);
                        },
                        SOCKETS,
                        15_000_000,
                        backend)) {
            backend.always(Peer.ok("x"));
            Wire down = proxy.discovery.accept();
            down.read();
            for (int i = 0; i < 300; i++) {
                crowd.add(proxy.client());
            }
            down.close();
            Wire back = proxy.discovery.accept();
            back.read();
            back.send(Peer.ok(Fixture.list(42, false, Fixture.entry("s0", backend.address(), "draining"))));
            assertThat(proxy.discovery.accept().read().first()).contains("from=42&");
        } finally {
            close(crowd);
        }
    }
}
