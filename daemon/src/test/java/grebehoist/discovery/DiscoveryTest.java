package grebehoist.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import beechfall.Balancer.Backend;
import beechfall.Balancer.Event;
import beechfall.Balancer.Fetch;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.State;
import beechfall.Balancer.Watch;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.cli.Wire;
import grebehoist.engine.Counter;
import grebehoist.engine.Log;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch on the list of backends, with discovery played by the test. */
class DiscoveryTest {
    /** Well within the pauses that the decision module makes. */
    private static final long MODULE_PAUSE_MS = 600;

    /** Asks to watch at its first event, and again whenever a call has failed. */
    private static Fixture.Module watcher() {
        return (event, actions) -> {
            if (event instanceof Members m && (m.kind() == ListKind.CACHED || m.kind() == ListKind.FAILED)) {
                actions.accept(new Watch(true));
            }
        };
    }

    /** Asks to watch at its first event, and never again: what goes on does so by itself. */
    private static Fixture.Module asksOnce() {
        return (event, actions) -> {
            if (event instanceof Members m && m.kind() == ListKind.CACHED) {
                actions.accept(new Watch(true));
            }
        };
    }

    /** A network whose client sockets can't be had for a while: the first of these numbers passes, so many fail. */
    private static Network withoutSockets(AtomicInteger failures) {
        Network sockets = Network.sockets();
        Bootstrap client = new Bootstrap().group(sockets.loop()).channelFactory(() -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException("no socket: too many open files");
            }
            return new NioSocketChannel();
        });
        return new Network(sockets.loop(), sockets.server(), client, sockets.addresses());
    }

    private static Wire.Message ready(Fixture proxy) throws Exception {
        try (var client = proxy.client()) {
            return client.send("GET /ready HTTP/1.1\r\n\r\n").read();
        }
    }

    /** Ready means that it can serve: not on the list of its last life alone, and not without a backend. */
    @Test
    void isReadyOnceDiscoveryHasSpoken() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(watcher(), backend)) {
            Members known = proxy.next(Members.class);
            assertThat(known.kind()).isEqualTo(ListKind.CACHED);
            assertThat(known.backends()).containsExactly(new Backend("s0", State.READY, "m", "a", 1, 7_000, 1));
            Wire call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints?from=41&hold_ms=0 HTTP/1.1");
            assertThat(ready(proxy).status()).isEqualTo(503);
            call.send(Peer.ok(Fixture.list(41, false)));
            // The watch goes on at once, and now it may wait: briefly, or a discovery that has vanished is not missed.
            Wire next = proxy.discovery.accept();
            assertThat(next.read().first()).matches("GET /v1/endpoints\\?from=41&hold_ms=1[1-5]\\d{2} HTTP/1.1");
            assertThat(ready(proxy).status()).isEqualTo(200);
            next.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s0", backend.address(), "gone"))));
            Wire last = proxy.discovery.accept();
            assertThat(last.read().first()).contains("from=43&");
            assertThat(ready(proxy).status()).isEqualTo(503);
        }
    }

    @Test
    void tellsChangesAndWholeLists() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s7", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
            call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s7", "127.0.0.1:1", "draining"))));
            Members change = proxy.next(Members.class);
            assertThat(change.kind()).isEqualTo(ListKind.DELTA);
            assertThat(change.backends()).extracting(Backend::state).containsExactly(State.DRAINING);
        }
    }

    /** One that doesn't wait and has no news, or gives its old list again, is asked again within the 200 ms of a watch, but not in a tight loop. */
    @ParameterizedTest(name = "entries: {0}")
    @ValueSource(booleans = {false, true})
    void doesNotSpinOnADiscoveryThatDoesNotWait(boolean entries) throws Exception {
        String same =
                entries ? Fixture.list(41, true, Fixture.entry("s7", "127.0.0.1:1", "ready")) : Fixture.list(41, false);
        try (var proxy = new Fixture(watcher())) {
            Wire first = proxy.discovery.accept();
            first.read();
            first.send(Peer.ok(same));
            Wire second = proxy.discovery.accept();
            second.read();
            long answered = System.nanoTime();
            second.send(Peer.ok(same));
            proxy.discovery.accept().read();
            assertThat(System.nanoTime() - answered).isGreaterThan(40_000_000);
        }
    }

    /**
     * Discovery goes back in version: a stale copy answered, or the service counts anew. What is ready there may have been
     * told to drain since, so its bad news alone is believed until the whole list, asked for at once, says more.
     */
    @Test
    void anOlderListIsNotTakenForNews() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(
                    40,
                    true,
                    Fixture.entry("s1", "127.0.0.1:1", "ready"),
                    Fixture.entry("s2", "127.0.0.1:2", "draining"))));
            Members bad = proxy.next(Members.class);
            assertThat(bad.kind()).isEqualTo(ListKind.DELTA);
            assertThat(bad.backends()).extracting(Backend::id).containsExactly("s2");
            Wire whole = proxy.discovery.accept();
            assertThat(whole.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            whole.send(Peer.ok(Fixture.list(40, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            Members full = proxy.next(Members.class);
            assertThat(full.kind()).isEqualTo(ListKind.FULL);
            assertThat(full.backends()).extracting(Backend::id).containsExactly("s1");
            assertThat(proxy.discovery.accept().read().first()).contains("from=40&");
        }
    }

    /** A failed call is told to the module, which decides when to ask again: nothing asks on its own. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha",
                "",
                "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnot JSON",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "rubbish\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":\"x\",\"full\":true,\"servers\":[]}"
            })
    void tellsOfAFailedCall(String answer) throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            try (Wire call = proxy.discovery.accept()) {
                call.read();
                call.send(answer);
            }
            assertThat(proxy.next(Members.class)).isEqualTo(new Members(ListKind.FAILED, List.of()));
            assertThat(proxy.discovery.accept().read().first()).contains("from=41&hold_ms=0");
        }
    }

    /** Incident 52: the outcome of a connect that had no socket was told on a thread that is not the loop's, and the watch ended there. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void goesOnAfterSocketsThatCouldNotBeHad(int failures) throws Exception {
        var left = new AtomicInteger();
        try (var proxy = new Fixture(watcher(), withoutSockets(left))) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            left.set(failures);
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
            for (int i = 0; i < failures; i++) {
                assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FAILED);
            }
            Wire next = proxy.discovery.accept();
            assertThat(next.read().first()).contains("from=42&hold_ms=0");
            next.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            assertThat(proxy.next(Members.class).backends())
                    .extracting(Backend::state)
                    .containsExactly(State.DRAINING);
        }
    }

    /** Whoever was to ask again does not: the supervisor notices that a watch is wanted and nothing is under way for it. */
    @Test
    void aLostWatchIsOpenedAgain() throws Exception {
        try (var proxy = new Fixture(asksOnce())) {
            try (Wire call = proxy.discovery.accept()) {
                call.read();
                call.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            }
            assertThat(proxy.discovery.accept().read().first()).contains("from=41&hold_ms=0");
        }
    }

    /**
     * The soak's seed 6009: the connection broke under an answer, which counts as notified. It is asked again at once, whatever pause the
     * module makes; but once only, as a discovery that goes down breaks connections, too.
     */
    @Test
    void asksAgainAtOnceWhereTheConnectionBroke() throws Exception {
        try (var proxy = new Fixture(asksOnce())) {
            proxy.next(Members.class);
            breakConnection(proxy.discovery.accept());
            long brokeAt = System.nanoTime();
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FAILED);
            breakConnection(proxy.discovery.accept());
            // Left to the supervisor it would have taken 1.5 s.
            assertThat(msSince(brokeAt)).isLessThan(1_000);
            brokeAt = System.nanoTime();
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FAILED);
            proxy.discovery.accept().read();
            assertThat(msSince(brokeAt)).isGreaterThan(1_000);
        }
    }

    private static long msSince(long ns) {
        return (System.nanoTime() - ns) / 1_000_000;
    }

    /** Ends a call in the middle of its answer with a reset. */
    private static void breakConnection(Wire call) throws IOException {
        call.read();
        call.send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":42,");
        call.socket.setSoLinger(true, 0);
        call.close();
    }

    /** Calls that are made again and again, and fail at once, are no watch that was lost: the supervisor counts none, and opens none. */
    @Test
    void callsThatFailAtOnceAreNoLostWatch() throws Exception {
        Network network = Network.sockets();
        var unattended = new AtomicInteger();
        var log = new QuietLog(unattended);
        var clock = new LoopTimers(network.loop(), log);
        var discovery = new Discovery[1];
        try (var service = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            var address = (InetSocketAddress) service.getLocalSocketAddress();
            network.loop()
                    .submit(() -> {
                        discovery[0] = new Discovery(
                                network,
                                clock,
                                log,
                                (kind, listed) -> askLater(kind, network, discovery),
                                address,
                                settings());
                        discovery[0].watch(true);
                    })
                    .sync();
            long began = System.nanoTime();
            int calls = 0;
            for (; msSince(began) < 4_000; calls++) {
                try (Wire call = new Wire(service.accept())) {
                    call.read();
                    call.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                }
            }
            assertThat(calls).isGreaterThan(3);
            assertThat(unattended).hasValue(0);
        } finally {
            network.loop().submit(() -> discovery[0].end()).sync();
            network.loop()
                    .parent()
                    .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                    .sync();
        }
    }

    private static Balancer.Settings settings() {
        var read = new Balancer.RequestClass(
                "read", 600_000, 2_000_000, 1, 0, Balancer.Effect.SAFE, Balancer.Scope.ALL, 0);
        return new Balancer.Settings(
                2,
                0,
                "a",
                4_000,
                List.of(read),
                List.of(),
                1,
                false,
                new Balancer.Limits(true, false, false, true, 4, 2_000_000),
                new Balancer.Rules(0.4, 8_000_000, 4, 1_000_000, 10_000_000, false),
                1);
    }

    private static void askLater(ListKind kind, Network network, Discovery[] discovery) {
        if (kind == ListKind.FAILED) {
            network.loop().schedule(() -> discovery[0].watch(true), MODULE_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts watches that were taken for lost. */
    private record QuietLog(AtomicInteger unattended) implements Log {
        @Override
        public void line(String text) {}

        @Override
        public void failure(String what, Throwable cause) {}

        @Override
        public void count(Counter counter) {
            if (counter == Counter.DISCOVERY_UNATTENDED) {
                unattended.incrementAndGet();
            }
        }
    }

    /** A discovery that is cut off says nothing, and TCP tells nobody: only the time does. */
    @Test
    void noticesASilentDiscovery() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            assertThat(call.ended()).isTrue();
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FAILED);
        }
    }

    /**
     * A watch has fallen silent: what it misses counts as told 2 s after the end of its wait. Well before that a second call is beside it,
     * while the first may still be answered; the first answer of the two is taken.
     */
    @Test
    void asksBesideAWatchThatHasFallenSilent() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
            Wire silent = proxy.discovery.accept();
            long wait = Long.parseLong(silent.read().first().replaceAll(".*hold_ms=(\\d+).*", "$1"));
            long opened = System.nanoTime();
            Wire beside = proxy.discovery.accept();
            assertThat(beside.read().first()).contains("from=42&hold_ms=0");
            assertThat((System.nanoTime() - opened) / 1_000_000).isBetween(wait, wait + 1_500);
            beside.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            Members news = proxy.next(Members.class);
            assertThat(news.kind()).isEqualTo(ListKind.DELTA);
            assertThat(news.backends()).extracting(Backend::state).containsExactly(State.DRAINING);
            assertThat(silent.ended()).isTrue();
            assertThat(proxy.discovery.accept().read().first()).contains("from=43&");
        }
    }

    /** One that is merely late is heard too, and the call beside it is not needed any more; nor has anything failed. */
    @Test
    void takesALateAnswerWhileAnotherCallIsBeside() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, false)));
            proxy.next(Members.class);
            Wire late = proxy.discovery.accept();
            late.read();
            Wire beside = proxy.discovery.accept();
            beside.read();
            late.send(Peer.ok(Fixture.list(43, false)));
            assertThat(proxy.next(Members.class)).isEqualTo(new Members(ListKind.DELTA, List.of()));
            assertThat(beside.ended()).isTrue();
            Wire next = proxy.discovery.accept();
            assertThat(next.read().first()).contains("from=43&").doesNotContain("hold_ms=0");
            next.close();
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FAILED);
        }
    }

    /** One of the two breaks: the other may still be answered, so nothing has failed yet. */
    @Test
    void waitsForTheSecondCallWhereTheFirstBreaks() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, false)));
            proxy.next(Members.class);
            Wire broken = proxy.discovery.accept();
            broken.read();
            Wire beside = proxy.discovery.accept();
            beside.read();
            broken.close();
            beside.send(Peer.ok(Fixture.list(44, false)));
            assertThat(proxy.next(Members.class)).isEqualTo(new Members(ListKind.DELTA, List.of()));
            assertThat(proxy.discovery.accept().read().first()).contains("from=44&");
        }
    }

    /** One entry that makes no sense must not cost the others. */
    @Test
    void leavesMalformedEntriesOut() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(
                    42,
                    true,
                    Fixture.entry("", "127.0.0.1:1", "ready"),
                    "7",
                    "null",
                    "{}",
                    Fixture.entry("s1", "localhost:1", "ready"),
                    Fixture.entry("s2", "127.0.0.1:99999", "ready"),
                    Fixture.entry("s3", "127.0.0.1:1", "asleep"),
                    Fixture.entry("s4", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).backends())
                    .extracting(Backend::id)
                    .containsExactly("s4");
        }
    }

    @Test
    void fetchesTheWholeListOnce() throws Exception {
        try (var proxy = new Fixture((Event event, java.util.function.Consumer<beechfall.Balancer.Action> actions) -> {
            if (event instanceof Members m && m.kind() == ListKind.CACHED) {
                actions.accept(new Fetch());
            }
        })) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
        }
    }

    /** A new configuration: the watch moves at once, asks for the whole list, and the known backends serve meanwhile. */
    @Test
    void movesToTheDiscoveryOfANewConfiguration() throws Exception {
        try (var backend = new Peer();
                var moved = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            watcher().handle(event, actions);
                            Fixture.sendTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.client()) {
            backend.always(Peer.ok("x"));
            Wire old = proxy.discovery.accept();
            old.read();
            proxy.reload(Fixture.config(moved.address()));
            assertThat(old.ended()).isTrue();
            Wire call = moved.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            assertThat(client.send(Fixture.get("r1")).read().status()).isEqualTo(200);
            call.send(Peer.ok(Fixture.list(3, true, Fixture.entry("s7", "127.0.0.1:1", "ready"))));
            assertThat(moved.accept().read().first()).contains("?from=3&");
            assertThat(client.send(Fixture.get("r2")).read().status()).isEqualTo(502);
        }
    }

    @Test
    void aBadConfigurationLeavesTheWatchAlone() throws Exception {
        try (var moved = new Peer();
                var proxy = new Fixture(watcher())) {
            Wire call = proxy.discovery.accept();
            call.read();
            proxy.reload("{\"discovery\":");
            proxy.reload(Fixture.config("nowhere"));
            call.send(Peer.ok(Fixture.list(42, false)));
            Wire next = proxy.discovery.accept();
            assertThat(next.read().first()).contains("?from=42&");
            // The last of two counts, and one that names the same address again changes nothing.
            proxy.reload(Fixture.config("127.0.0.1:1"));
            proxy.reload(Fixture.config(moved.address()));
            Wire last = moved.accept();
            last.read();
            proxy.reload(Fixture.config(moved.address()));
            last.send(Peer.ok(Fixture.list(7, true)));
            assertThat(moved.accept().read().first()).contains("?from=7&");
        }
    }
}
