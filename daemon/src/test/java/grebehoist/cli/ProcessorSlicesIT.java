package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A whole process that gets its processor in slices, as beside busy neighbours: what is owed at a time does not rest on how often it runs. */
@Timeout(120)
class ProcessorSlicesIT {
    private static final int BACKENDS = 4;
    private static final int CLIENTS = 4;
    private static final int REQUESTS_OF_EACH = 4;
    private static final int BODY_BYTES = 3_000_000;
    private static final int LONG_BODY_BYTES = 64 * 1024;
    private static final int READ_BEFORE_STUCK_BYTES = 9_215;
    private static final int PIECE_BYTES = 4 * 1024;
    private static final int ROUNDS = 4;
    private static final int IDLE_CLIENTS = 10;
    /** DAYS: 4 s after the call nothing is to be held on which nothing is asked. */
    private static final long LET_GO_MS = 4_000;

    private static final long WAIT_MS = 650;
    /** STANDING: half a second after its time an answer is lost; PROTOCOL: on sockets each limit is 50 ms longer. */
    private static final long LATE_MS = 550;

    private final AtomicBoolean over = new AtomicBoolean();
    private Peer discovery;
    private PeerFleet backends;
    private ProxyProcess proxy;
    private Thread slices;

    @BeforeEach
    void begin() throws Exception {
        discovery = new Peer();
        proxy = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
    }

    @AfterEach
    void end() throws Exception {
        over.set(true);
        if (slices != null) {
            slices.join();
        }
        proxy.close();
        discovery.close();
        if (backends != null) {
            backends.close();
        }
    }

    private void start(long msBetweenPieces) throws Exception {
        backends = new PeerFleet(BACKENDS, wire -> serve(wire, msBetweenPieces));
        proxy.configure(discovery.socketAddress(), backends.list()).start().awaitReady();
    }

    /** Reads a long body slowly, or not at all beyond its first bytes where the time between pieces is negative. */
    private void serve(Wire wire, long msBetweenPieces) throws IOException {
        for (Wire.Message head = wire.head(); head != null; head = wire.head()) {
            int length = Integer.parseInt(head.header("Content-Length"));
            if (length > LONG_BODY_BYTES && msBetweenPieces < 0) {
                wire.body(READ_BEFORE_STUCK_BYTES);
                return;
            }
            for (int left = length; left > 0; left -= PIECE_BYTES) {
                wire.body(Math.min(left, PIECE_BYTES));
                pause(length > LONG_BODY_BYTES ? msBetweenPieces : 0);
            }
            wire.send(Peer.ok("done"));
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void slice(long runMs, long stopMs) {
        slices = new Thread(() -> {
            try {
                while (!over.get()) {
                    TimeUnit.MILLISECONDS.sleep(runMs);
                    proxy.signal("STOP");
                    TimeUnit.MILLISECONDS.sleep(stopMs);
                    proxy.signal("CONT");
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        slices.start();
    }

    private static String head(String id, int length) {
        return "POST /api?k=u1 HTTP/1.1\r\nHost: service\r\nX-Request-ID: " + id
                + "\r\nX-Tenant-Id: large\r\nX-Timeout: " + WAIT_MS + "m\r\nX-Priority-Class: vote\r\nContent-Length: "
                + length + "\r\n\r\n";
    }

    /** Returns how long after its time the final answer came. */
    private long askedLateMs(String id) throws IOException, InterruptedException {
        try (var client = Wire.to(proxy.address())) {
            var writtenAt = new AtomicLong(Long.MAX_VALUE);
            String body = "x".repeat(BODY_BYTES);
            Peer.background(() -> {
                client.send(head(id, BODY_BYTES) + body);
                writtenAt.set(System.nanoTime());
            });
            client.head();
            long answeredAt = System.nanoTime();
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(answeredAt - Math.min(answeredAt, writtenAt.get()));
            return waitedMs - WAIT_MS;
        }
    }

    /** Guards against a related path of issue 67: connections on which nothing is asked were left alone by a process that was behind. */
    @ParameterizedTest
    @CsvSource({"20, 80", "8, 70"})
    void aDrainedProxyLetsGoOfItsClientsInTime(long runMs, long stopMs) throws Exception {
        start(0);
        slice(runMs, stopMs);
        for (int round = 0; round < ROUNDS; round++) {
            assertThat(letGoAfterMs("idle" + round)).as("%s", proxy.log()).isLessThan(LET_GO_MS);
            assertThat(proxy.call("POST", "/v1/proxy/activate")).isEqualTo(200);
        }
    }

    /** Returns how long after the call that drains its proxy the last idle connection was ended. */
    private long letGoAfterMs(String id) throws IOException {
        var idle = new ArrayList<Wire>();
        try {
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                Wire client = Wire.to(proxy.address());
                idle.add(client);
                assertThat(client.send(head(id + "-" + i, 1) + "x").read()).isNotNull();
            }
            long calledAt = System.nanoTime();
            assertThat(proxy.call("POST", "/v1/proxy/drain")).isEqualTo(200);
            for (Wire client : idle) {
                assertThat(client.ended()).as("%s", proxy.log()).isTrue();
            }
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt);
        } finally {
            for (Wire client : idle) {
                client.close();
            }
        }
    }

    /** Guards against evidence 2 of issue 67: what bounds a large request was only looked at now and then, and not while the process was behind. */
    @ParameterizedTest
    @CsvSource({"60, 60, -1", "60, 60, 48", "15, 60, -1", "15, 60, 48"})
    void aLargeRequestHasItsFinalAnswerInTimeThoughItsBackendReadsSlowlyOrNotAtAll(
            long runMs, long stopMs, long msBetweenPieces) throws Exception {
        start(msBetweenPieces);
        slice(runMs, stopMs);
        var worstMs = new AtomicLong(Long.MIN_VALUE);
        var answered = new AtomicLong();
        var clients = new ArrayList<Thread>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            var thread = new Thread(() -> {
                try {
                    for (int j = 0; j < REQUESTS_OF_EACH; j++) {
                        worstMs.accumulateAndGet(askedLateMs("large" + client + "-" + j), Math::max);
                        answered.incrementAndGet();
                    }
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            clients.add(thread);
            thread.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        assertThat(answered.get()).as("%s", proxy.log()).isEqualTo((long) CLIENTS * REQUESTS_OF_EACH);
        assertThat(worstMs.get()).as("%s", proxy.log()).isLessThan(LATE_MS);
    }
}
