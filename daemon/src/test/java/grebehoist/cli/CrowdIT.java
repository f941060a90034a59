package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A whole process beside hundreds of clients that cost much by the byte: ordinary requests go on, in the memory that is granted. */
@Timeout(120)
class CrowdIT {
    private static final int CROWD = 450;
    private static final int BACKENDS = 8;
    private static final int ORDINARY_CLIENTS = 8;
    private static final long PAUSE_MS = 75;
    private static final long LASTS_MS = 8_000;
    private static final long WAIT_MS = 2_000;
    /** STANDING: half a second after its time an answer is lost; PROTOCOL: on sockets each limit is 50 ms longer. */
    private static final long LATE_MS = 550;
    /** What the least generous of the operators' days grants, less a tenth. */
    private static final long MOST_KB = 130 * 1_024;

    private static final String CHUNKS = "1\r\nx\r\n".repeat(60_000);

    /** How an ordinary request ended, and how long it took. */
    private record Ordinary(int status, long tookMs) {}

    private static String head(String id, String type, String more) {
        return (type.equals("read") ? "GET" : "POST") + " /api?k=u1 HTTP/1.1\r\nHost: service\r\nX-Request-ID: " + id
                + "\r\nX-Tenant-Id: large\r\nX-Timeout: " + WAIT_MS + "m\r\nX-Priority-Class: " + type + "\r\n" + more
                + "\r\n";
    }

    /** Writes a body in chunks of one byte as fast as it goes, ends it late, and comes again. */
    private static void crowd(ProxyProcess proxy, int number, AtomicBoolean over) throws IOException {
        for (int i = 0; !over.get(); i++) {
            try (var client = Wire.to(proxy.address())) {
                client.send(head("many" + number + "-" + i, "vote", "Transfer-Encoding: chunked\r\n") + CHUNKS);
                pause(WAIT_MS - 100);
                client.send("0\r\n\r\n").read();
            } catch (IOException e) {
                // It has been refused, and comes again.
                pause(PAUSE_MS);
            }
        }
    }

    private static void ask(ProxyProcess proxy, int number, AtomicBoolean over, Queue<Ordinary> answers)
            throws IOException {
        for (int i = 0; !over.get(); i++) {
            long from = System.nanoTime();
            try (var client = Wire.to(proxy.address())) {
                Wire.Message answer = client.send(head("ordinary" + number + "-" + i, "read", ""))
                        .read();
                int status = answer == null ? 0 : answer.status();
                answers.add(new Ordinary(status, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from)));
            }
            pause(PAUSE_MS);
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final AtomicBoolean over = new AtomicBoolean();
    private final Queue<Ordinary> answers = new ConcurrentLinkedQueue<>();
    private final List<Thread> asking = new ArrayList<>();
    private PeerFleet backends;
    private Peer discovery;
    private ProxyProcess proxy;

    @BeforeEach
    void begin() throws Exception {
        discovery = new Peer();
        backends = new PeerFleet(BACKENDS, CrowdIT::serve);
        proxy = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
        proxy.configure(discovery.socketAddress(), backends.list()).start().awaitReady();
        for (int i = 0; i < CROWD; i++) {
            int number = i;
            Peer.background(() -> crowd(proxy, number, over));
        }
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            int number = i;
            var thread = new Thread(() -> {
                try {
                    ask(proxy, number, over, answers);
                } catch (IOException e) {
                    answers.add(new Ordinary(0, 0));
                }
            });
            asking.add(thread);
            thread.start();
        }
    }

    private void stopAsking() throws InterruptedException {
        over.set(true);
        for (Thread thread : asking) {
            thread.join();
        }
    }

    @AfterEach
    void end() throws Exception {
        stopAsking();
        proxy.close();
        discovery.close();
        backends.close();
    }

    /** Guards against a crowd of issue 67: each had two long reads before its reads were put off, and a turn of the loop took seconds. */
    @Test
    void ordinaryRequestsGoOnBesideManyBodiesInChunksOfOneByte() throws Exception {
        pause(LASTS_MS);
        stopAsking();
        long served = answers.stream().filter(a -> a.status() == 200).count();
        System.out.println(
                served + " of " + answers.size() + " ordinary requests served, " + proxy.peakKb() + " kB at most");
        assertThat(proxy.alive()).isTrue();
        assertThat(proxy.peakKb()).isLessThan(MOST_KB);
        assertThat(answers).allSatisfy(a -> assertThat(a.tookMs()).isLessThan(WAIT_MS + LATE_MS));
        assertThat(answers).noneMatch(a -> a.status() == 0);
        assertThat((double) served / answers.size()).as("served").isGreaterThan(0.95);
    }

    /** Guards against an upgrade's first seconds: the old process had half of the descriptors while the new one did not listen yet. */
    @Test
    void ordinaryRequestsAreAnsweredInTimeBesideACrowdWhileANewVersionStarts() throws Exception {
        pause(LASTS_MS / 4);
        try (var young = proxy.newVersion()) {
            young.configure(discovery.socketAddress(), backends.list()).start();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (young.call("GET", "/v1/readyz") != 200 && System.nanoTime() < until) {
                pause(PAUSE_MS);
            }
            pause(LASTS_MS / 4);
            stopAsking();
            assertThat(proxy.alive()).isTrue();
            assertThat(young.alive()).isTrue();
            assertThat(answers).allSatisfy(a -> assertThat(a.tookMs()).isLessThan(WAIT_MS + LATE_MS));
            assertThat(answers).noneMatch(a -> a.status() == 0);
        }
    }

    private static void serve(Wire wire) throws IOException {
        for (Wire.Message head = wire.head(); head != null; head = wire.head()) {
            if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
                wire.chunks();
            } else if (head.header("Content-Length") != null) {
                wire.body(Integer.parseInt(head.header("Content-Length")));
            }
            wire.send(Peer.ok("done"));
        }
    }
}
