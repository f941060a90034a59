package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.testkit.Fleet;
import grebehoist.testkit.Rig;
import grebehoist.testkit.Witness;
import grebehoist.testkit.Witness.Count;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whole processes that operators call at their door, under load, with the witness of the four rules looking on. */
@Timeout(120)
class OperationsIT {
    private static final long S = 1_000_000;

    private static void assertKept(Rig rig) {
        Witness witness = rig.finish();
        String verdict = rig.on(witness::verdict);
        System.out.println(verdict);
        assertThat(rig.on(witness::violations)).as(verdict).isEmpty();
    }

    private static long attempts(ProxyProcess proxy) throws IOException {
        return proxy.figures().path("tries").asLong();
    }

    /** Rule 3 holds from the yes on, and rule 4 when it comes back, restarted, before discovery has heard of that. */
    @Test
    void aBackendIsTakenOutAndPutBack() throws Exception {
        try (var rig = ProcessIT.rig();
                var proxy = ProxyProcess.on(rig, new ProxyProcess("n0", ProcessIT.settings(0)).withDoor())) {
            rig.load(3, 60 * S);
            rig.awaitServed(200);
            Fleet.Machine out = rig.fleet().staying().get(0);
            assertThat(proxy.call("POST", "/v1/backends/nobody/suspend")).isEqualTo(404);
            assertThat(proxy.call("POST", "/v1/backends/" + out.id() + "/suspend"))
                    .isEqualTo(200);
            rig.run(() -> rig.witness().told(0, out.id(), false, rig.now()));
            assertThat(proxy.call("POST", "/v1/backends/" + out.id() + "/suspend"))
                    .isEqualTo(200);
            rig.awaitServed(300);
            assertThat(proxy.figures().path("pool_ejected").asInt()).isEqualTo(1);
            assertThat(proxy.figures().path("pool_size").asInt()).isEqualTo(5);
            rig.run(() -> rig.witness().told(0, out.id(), true, rig.now()));
            long before = rig.on(() -> out.backend().runs());
            assertThat(proxy.call("POST", "/v1/backends/" + out.id() + "/resume"))
                    .isEqualTo(200);
            rig.await("it is used again", () -> out.backend().runs() > before);
            assertThat(proxy.figures().path("pool_ejected").asInt()).isZero();
            assertKept(rig);
        }
    }

    @Test
    void theFiguresAreTrue() throws Exception {
        try (var rig = ProcessIT.rig();
                var proxy = ProxyProcess.on(rig, new ProxyProcess("n0", ProcessIT.settings(0)).withDoor())) {
            rig.load(4, 60 * S);
            rig.awaitServed(500);
            rig.finish();
            JsonNode figures = proxy.figures();
            assertThat(sum(figures.path("ok")))
                    .isEqualTo(rig.on(() -> rig.witness().count(Count.SERVED)));
            assertThat(sum(figures.path("shed")))
                    .isEqualTo(rig.on(() -> rig.witness().count(Count.REFUSED)));
            assertThat(figures.path("active").asInt()).isZero();
            long attempts = rig.on(() -> rig.witness().count(Count.ATTEMPTS));
            assertThat(figures.path("tries").asLong()).isBetween(attempts * 98 / 100 - 3, attempts * 102 / 100 + 3);
        }
    }

    private static long sum(JsonNode byClass) {
        long sum = 0;
        for (JsonNode of : byClass) {
            sum += of.asLong();
        }
        return sum;
    }

    /** A drained proxy says so, lets go of its clients, and serves again as soon as it is told to. */
    @Test
    void clientsAreSentAwayAndComeBack() throws Exception {
        try (var rig = ProcessIT.rig();
                var first = ProxyProcess.on(rig, new ProxyProcess("n0", ProcessIT.settings(0)).withDoor());
                var second = ProxyProcess.on(rig, "n1", ProcessIT.settings(1))) {
            rig.load(3, 60 * S);
            rig.awaitServed(200);
            assertThat(first.call("POST", "/v1/proxy/drain")).isEqualTo(200);
            assertThat(ProxyProcess.ready(first.address())).isFalse();
            rig.later(rig.now() + S / 5, () -> rig.avoid(0, true));
            try (var idle = Wire.to(first.address())) {
                assertThat(idle.endedQuietly()).as("nobody stays connected").isTrue();
            }
            rig.awaitServed(200);
            assertThat(first.figures().path("active").asInt()).isZero();
            assertThat(first.alive()).isTrue();
            assertThat(first.call("POST", "/v1/proxy/activate")).isEqualTo(200);
            assertThat(ProxyProcess.ready(first.address())).isTrue();
            long before = attempts(first);
            rig.avoid(0, false);
            rig.awaitServed(200);
            assertThat(attempts(first)).isGreaterThan(before);
            assertThat(second.alive()).isTrue();
            assertKept(rig);
        }
    }

    /** Nobody is turned away while a new version takes the old one's place, and what operators have asked for holds. */
    @Test
    void aNewVersionTakesOverUnderLoad() throws Exception {
        try (var rig = ProcessIT.rig();
                var old = ProxyProcess.on(rig, new ProxyProcess("n0", ProcessIT.settings(0)).withDoor());
                var young = old.newVersion()) {
            rig.load(3, 60 * S);
            rig.awaitServed(200);
            Fleet.Machine out = rig.fleet().staying().get(0);
            assertThat(old.call("POST", "/v1/backends/" + out.id() + "/suspend"))
                    .isEqualTo(200);
            rig.run(() -> rig.witness().told(0, out.id(), false, rig.now()));
            InetSocketAddress discovery = rig.discoveryOfNextProxy();
            young.configure(discovery, rig.on(rig.discovery()::known)).start();
            rig.await("the new version says that it can serve", () -> {
                try {
                    return young.call("GET", "/v1/readyz") == 200;
                } catch (IOException e) {
                    return false;
                }
            });
            Fleet.Machine another = rig.fleet().staying().get(1);
            assertThat(young.call("POST", "/v1/backends/" + another.id() + "/suspend"))
                    .as("both hear of it")
                    .isEqualTo(200);
            rig.run(() -> rig.witness().told(0, another.id(), false, rig.now()));
            rig.awaitServed(100);
            assertThat(old.figures().path("pool_ejected").asInt()).isEqualTo(2);
            old.signal("TERM");
            assertThat(old.awaitEnd()).isZero();
            assertThat(old.log()).contains("handing over");
            rig.awaitServed(300);
            assertThat(young.figures().path("pool_ejected").asInt()).isEqualTo(2);
            // From the call on it may be used.
            rig.run(() -> rig.witness().told(0, another.id(), true, rig.now()));
            assertThat(young.call("POST", "/v1/backends/" + another.id() + "/resume"))
                    .isEqualTo(200);
            assertThat(young.figures().path("pool_ejected").asInt()).isEqualTo(1);
            assertKept(rig);
        }
    }

    /** Guards against issue 73, review/10, in an upgrade: the old process ended 3.1 s after SIGTERM, with its long answers cut off. */
    @Test
    void anUpgradeLetsLongAnswersOfTheOldProcessComeWhole() throws Exception {
        var answers = new EndlessAnswers();
        try (var discovery = new Peer();
                var backends = new PeerFleet(4, answers);
                var old = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
                var young = old.newVersion()) {
            old.configure(discovery.socketAddress(), backends.list()).start().awaitReady();
            try (var clients = new LongReaders(old.address(), 4)) {
                young.configure(discovery.socketAddress(), backends.list()).start();
                young.awaitReadyAtDoor();
                old.signal("TERM");
                awaitLine(old, "listens no more, ends when 4 answers are over");
                assertThat(old.log()).contains("handing over");
                assertThat(old.call("GET", "/v1/readyz"))
                        .as("nobody is at its door")
                        .isZero();
                assertThat(clients.reading()).isTrue();
                answers.finish();
                assertThat(clients.allWhole()).as("%s", old.log()).isTrue();
            }
            long over = System.nanoTime();
            assertThat(old.awaitEnd()).isZero();
            assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - over)).isLessThan(5);
        }
    }

    private static void awaitLine(ProxyProcess process, String line) throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!process.log().contains(line)) {
            assertThat(System.nanoTime() - until).as("%s", process.log()).isNegative();
            pause(20);
        }
    }

    /** Rule 3 counts from when the proxy was notified, whichever of its processes heard it. Guards against soak 5203. */
    @Test
    void whatTheOldProcessWasToldHoldsForTheNewOneThatDiscoveryDoesNotAnswer() throws Exception {
        var runs = new ConcurrentHashMap<String, AtomicInteger>();
        try (var discovery = new Peer();
                var silent = new Peer();
                var stays = new Peer();
                var drains = new Peer();
                var old = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
                var young = old.newVersion()) {
            stays.serveAll(wire -> countAs("stays", wire, runs));
            drains.serveAll(wire -> countAs("drains", wire, runs));
            String known = Fixture.list(41, true, listed("s0", stays, "ready"), listed("s1", drains, "ready"));
            old.configure(discovery.socketAddress(), known).start();
            Wire watch = discovery.accept();
            watch.read();
            watch.send(Peer.ok(known));
            old.awaitReady();
            young.configure(silent.socketAddress(), known).start();
            Wire next = discovery.accept();
            next.read();
            next.send(Peer.ok(Fixture.list(42, false, listed("s1", drains, "draining"))));
            awaitListening(young);
            askAndLeave(young.address(), runs, "stays");
            old.signal("TERM");
            assertThat(old.awaitEnd()).isZero();
            runs.remove("stays");
            askAndLeave(young.address(), runs, "stays");
            assertThat(runs).as("%s%n%s", old.log(), young.log()).doesNotContainKey("drains");
        }
    }

    private static String listed(String id, Peer backend, String state) {
        return Fixture.entry(id, backend.address(), state).replace("\"started_ms\":7", "\"started_ms\":0");
    }

    private static void countAs(String name, Wire wire, Map<String, AtomicInteger> runs) throws IOException {
        while (wire.read() != null) {
            runs.computeIfAbsent(name, n -> new AtomicInteger()).incrementAndGet();
            wire.send(Peer.ok("done"));
        }
    }

    private static void awaitListening(ProxyProcess process) throws IOException {
        awaitLine(process, "listening on");
    }

    /** Asks until one backend has run so much that another would have been used as well. */
    private static void askAndLeave(InetSocketAddress proxy, Map<String, AtomicInteger> runs, String until)
            throws IOException {
        for (int i = 0; i < 500 && runs.getOrDefault(until, new AtomicInteger()).get() < 50; i++) {
            try (var client = Wire.to(proxy)) {
                client.send("GET /api?k=u" + i + " HTTP/1.1\r\nHost: service\r\nX-Request-ID: ask" + i
                                + "\r\nX-Tenant-Id: large\r\nX-Timeout: 1900m\r\nX-Priority-Class: read\r\n\r\n")
                        .read();
            }
        }
        assertThat(runs).containsKey(until);
    }

    private static final int IDS = 60;
    private static final int BURSTS = 2;
    private static final long LEAVES_MS = 50;
    private static final long COMES_AGAIN_MS = 250;
    /** So long that its client has left before it is done. */
    private static final long WORK_MS = 100;

    /** Guards against picture (b) of issue 67: an id came again at the other process of an upgrade, and ran there too. */
    @Test
    void anIdThatComesAgainDuringAnUpgradeDoesNotRunTwice() throws Exception {
        var runs = new ConcurrentHashMap<String, AtomicInteger>();
        try (var discovery = new Peer();
                var backends = new PeerFleet(4, wire -> count(wire, runs));
                var old = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
                var young = old.newVersion()) {
            old.configure(discovery.socketAddress(), backends.list()).start().awaitReady();
            young.configure(discovery.socketAddress(), backends.list()).start();
            young.awaitReadyAtDoor();
            for (int burst = 0; burst < BURSTS; burst++) {
                var clients = new ArrayList<Thread>();
                for (int i = 0; i < IDS; i++) {
                    String id = "id" + burst + "-" + i;
                    var client = new Thread(() -> leaveAndComeAgain(old.address(), id));
                    client.start();
                    clients.add(client);
                }
                for (Thread client : clients) {
                    client.join();
                }
            }
            assertThat(runs).as("%s%n%s", old.log(), young.log()).hasSizeGreaterThan(IDS / 2);
            assertThat(runs)
                    .allSatisfy((id, count) -> assertThat(count.get()).as(id).isEqualTo(1));
        }
    }

    private static void count(Wire wire, Map<String, AtomicInteger> runs) throws IOException {
        for (Wire.Message request = wire.read(); request != null; request = wire.read()) {
            runs.computeIfAbsent(request.header("X-Request-ID"), id -> new AtomicInteger())
                    .incrementAndGet();
            pause(WORK_MS);
            wire.send(Peer.ok("done"));
        }
    }

    private static void leaveAndComeAgain(InetSocketAddress proxy, String id) {
        String request = "POST /api?k=u1 HTTP/1.1\r\nHost: service\r\nX-Request-ID: " + id
                + "\r\nX-Tenant-Id: large\r\nX-Timeout: 1900m\r\nX-Priority-Class: vote\r\nContent-Length: 0\r\n\r\n";
        try {
            try (var client = Wire.to(proxy)) {
                client.send(request);
                pause(LEAVES_MS);
            }
            pause(COMES_AGAIN_MS);
            try (var client = Wire.to(proxy)) {
                client.send(request).read();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
