package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.testkit.Fleet;
import grebehoist.testkit.HttpWire;
import grebehoist.testkit.Rig;
import grebehoist.testkit.Witness;
import grebehoist.testkit.Witness.Count;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whole processes under long and slow messages: the rules, and the memory that the platform grants. */
@Timeout(120)
class LongMessagesIT {
    private static final long S = 1_000_000;
    private static final int SLOW = 50;
    /** Many: an attempt out for each body that is on its way is more than the module lets out before few. */
    private static final int BACKENDS = 60;

    private static final int NORMAL = 200;
    /** What the least generous of the operators' days grants, less a tenth. */
    private static final long MOST_KB = 130 * 1_024;

    private static final int MANY = 250;
    /** Less than a head may have. */
    private static final int HEAD_BYTES = 8_000;

    private static final int STEP = 16 * 1_024;
    /** 64 kB a second. */
    private static final long STEP_MS = 250;
    /** Past all the times after which one that does not move is cut off. */
    private static final long LASTS_MS = 13_000;

    private static final String PIECE = "x".repeat(STEP);

    /** A backend is taken out, one drains and one comes back, while long answers and bodies are on their way. */
    @Test
    void backendsComeAndGoUnderLongMessages() throws Exception {
        try (var rig =
                new Rig(new HttpWire(true), ProcessIT.settings(0), new double[] {0.45, 0.3, 0.15, 0.1}, 15 * S, 35)) {
            rig.machines(5);
            try (var proxy = ProxyProcess.on(rig, new ProxyProcess("n0", ProcessIT.settings(0)).withDoor())) {
                rig.load(3, 60 * S);
                rig.awaitServed(200);
                Fleet.Machine out = rig.fleet().staying().get(0);
                assertThat(proxy.call("POST", "/v1/backends/" + out.id() + "/suspend"))
                        .isEqualTo(200);
                rig.run(() -> rig.witness().told(0, out.id(), false, rig.now()));
                rig.run(() -> rig.fleet().staying().get(1).drainUntil(rig.now() + 2 * S));
                rig.awaitServed(400);
                rig.run(() -> rig.witness().told(0, out.id(), true, rig.now()));
                assertThat(proxy.call("POST", "/v1/backends/" + out.id() + "/resume"))
                        .isEqualTo(200);
                rig.awaitServed(200);
                Witness witness = rig.finish();
                String verdict = rig.on(witness::verdict);
                System.out.println(verdict);
                assertThat(rig.on(witness::violations)).as(verdict).isEmpty();
                assertThat(rig.on(() -> witness.count(Count.STREAMED))).isGreaterThan(20);
            }
        }
    }

    /**
     * Fifty clients read an answer of 32 MB each, and fifty send a body of 4 MB, at the slowest that the operators' pages know of. None of
     * them is cut off, what else is asked is answered, and all of it fits into the memory that is granted.
     */
    @Test
    void slowClientsTakeNoMoreMemoryThanIsGranted() throws Exception {
        var over = new AtomicBoolean();
        var threads = new ArrayList<Thread>();
        try (var discovery = new Peer();
                var backends = new PeerFleet(BACKENDS, wire -> serve(wire, over));
                var proxy = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor()) {
            proxy.configure(discovery.socketAddress(), backends.list()).start().awaitReady();
            // The first ones find the code cold.
            median(proxy);
            long alone = median(proxy);
            var begun = new CountDownLatch(2 * SLOW);
            var steps = new AtomicInteger();
            List<String> cutOff = java.util.Collections.synchronizedList(new ArrayList<>());
            for (int i = 0; i < SLOW; i++) {
                String id = "slow" + i;
                threads.add(slow(cutOff, id, () -> read(proxy, id, begun, steps, over)));
                threads.add(slow(cutOff, id, () -> write(proxy, id, begun, steps, over)));
            }
            assertThat(begun.await(30, TimeUnit.SECONDS))
                    .as("all have begun, but %s", cutOff)
                    .isTrue();
            long beside = median(proxy);
            Thread.sleep(LASTS_MS);
            assertThat(cutOff).as("%s", proxy.log()).isEmpty();
            assertThat(steps.get()).as("all of them go on").isGreaterThan(2 * SLOW * (int) (LASTS_MS / STEP_MS) / 2);
            long kb = proxy.peakKb();
            System.out.printf(
                    "%d slow readers and writers: %d MB at most; a normal request takes %.2f times what it takes alone%n",
                    SLOW, kb / 1_024, (double) beside / alone);
            assertThat(kb).isLessThan(MOST_KB);
            over.set(true);
            for (Thread thread : threads) {
                thread.join();
            }
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (proxy.figures().path("active").asInt() > 0 && System.nanoTime() < until) {
                Thread.sleep(50);
            }
            assertThat(proxy.figures().path("active").asInt())
                    .as("all is forgotten")
                    .isZero();
        } finally {
            over.set(true);
        }
    }

    /** Guards against picture (a) of issue 63: a bound on the bytes of heads was none on memory, and the process ended with OutOfMemoryError. */
    @Test
    void headsOfManyShortFieldsTakeNoMoreMemoryThanIsGranted() throws Exception {
        String fields = "a:b\r\n".repeat(HEAD_BYTES / "a:b\r\n".length());
        var clients = new ArrayList<Wire>();
        try (var discovery = new Peer();
                var backend = new Peer();
                var proxy = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor()) {
            backend.always(Peer.ok("done"));
            String entry =
                    Fixture.entry("s0", backend.address(), "ready").replace("\"started_ms\":7", "\"started_ms\":0");
            proxy.configure(discovery.socketAddress(), Fixture.list(41, true, entry))
                    .start()
                    .awaitReady();
            median(proxy);
            for (int i = 0; i < MANY; i++) {
                clients.add(Wire.to(proxy.address()).send("GET /api HTTP/1.1\r\n" + fields));
            }
            // As each is told so, none of them waits for more of its head.
            for (Wire client : clients) {
                assertThat(client.read().status()).isEqualTo(431);
            }
            median(proxy);
            assertThat(proxy.peakKb()).as("%s", proxy.log()).isLessThan(MOST_KB);
        } finally {
            for (Wire client : clients) {
                client.close();
            }
        }
    }

    private static Thread slow(List<String> cutOff, String id, Peer.Work work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                cutOff.add(id + ": " + e);
            }
        });
        thread.start();
        return thread;
    }

    private static String head(String method, String id, String more) {
        return method + " /api?k=u1 HTTP/1.1\r\nHost: service\r\nX-Request-ID: " + id
                + "\r\nX-Tenant-Id: large\r\nX-Timeout: 1900m\r\n" + "X-Priority-Class: "
                + (method.equals("GET") ? "read" : "vote") + "\r\n" + more + "\r\n";
    }

    /** Serves what is asked: long answers to slow ids, short ones to others. */
    private static void serve(Wire wire, AtomicBoolean over) throws IOException {
        for (Wire.Message m = wire.head(); m != null; m = wire.head()) {
            if (m.first().startsWith("POST")) {
                wire.body(Integer.parseInt(m.header("Content-Length")));
            }
            if (m.first().startsWith("GET") && m.header("X-Request-ID").startsWith("slow")) {
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + 2_000 * STEP + "\r\n\r\n");
                for (int i = 0; i < 2_000 && !over.get(); i++) {
                    wire.send(PIECE);
                }
            } else {
                wire.send(Peer.ok("done"));
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(STEP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void read(
            ProxyProcess proxy, String id, CountDownLatch begun, AtomicInteger steps, AtomicBoolean over)
            throws IOException {
        try (var client = Wire.narrow(proxy.address())) {
            client.send(head("GET", id, ""));
            int status = client.head().status();
            if (status != 200) {
                throw new IOException("answered " + status);
            }
            begun.countDown();
            while (!over.get()) {
                client.body(STEP);
                steps.incrementAndGet();
                pause();
            }
        }
    }

    private static void write(
            ProxyProcess proxy, String id, CountDownLatch begun, AtomicInteger steps, AtomicBoolean over)
            throws IOException {
        try (var client = Wire.narrow(proxy.address())) {
            client.send(head("POST", id + "w", "Content-Length: " + 250 * STEP + "\r\n"));
            begun.countDown();
            while (!over.get()) {
                try {
                    client.send(PIECE);
                } catch (IOException e) {
                    throw new IOException("answered " + client.head().status(), e);
                }
                steps.incrementAndGet();
                pause();
            }
        }
    }

    /** Returns the median time of a normal request, in nanoseconds. */
    private static long median(ProxyProcess proxy) throws IOException {
        long[] times = new long[NORMAL];
        try (var client = Wire.to(proxy.address())) {
            for (int i = 0; i < NORMAL; i++) {
                long from = System.nanoTime();
                client.send(head("GET", "n" + from, ""));
                assertThat(client.read().status()).isEqualTo(200);
                times[i] = System.nanoTime() - from;
            }
        }
        Arrays.sort(times);
        return times[NORMAL / 2];
    }
}
