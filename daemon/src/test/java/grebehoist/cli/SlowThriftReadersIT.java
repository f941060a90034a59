package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.testkit.ReservedAddress;
import java.io.ByteArrayInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against issue 77, {@code review/6}: replies that Thrift clients did not take used up the memory for buffers, the event loop's
 * thread slept in their allocation, and calls of other clients got no reply at all.
 */
@Timeout(120)
class SlowThriftReadersIT {
    private static final int BACKENDS = 6;
    private static final int ORDINARY = 8;
    /** Many: an attempt that is out for each long answer is more than the module lets out before few. */
    private static final int BACKENDS_OVER_HTTP = 60;

    private static final int SLOW_OVER_HTTP = 400;
    /** Calls that a slow client has open: as many as a connection is read for. */
    private static final int OPEN = 64;
    /** The text of a long reply, in bytes: with its head it stays below 64 KiB. */
    private static final int LONG = 60_000;

    private static final long WORK_MS = 2;
    private static final long LASTS_MS = 15_000;
    private static final long REST_MS = 50;
    private static final int PATIENCE_MS = 2_000;
    /** Half a second after its time a call is lost. */
    private static final int GRACE_MS = 500;

    private static final long STEP_MS = 100;
    /** 64 kB a second, as the slowest clients that the operators' pages name. */
    private static final int STEP_OVER_HTTP = 16_384;

    private static final long STEP_OVER_HTTP_MS = 250;
    /** A client that reads less, in bytes a second, is cut off. */
    private static final int LEAST_RATE = 16_000;
    /** What the least generous of the operators' days grants, less a tenth. */
    private static final long MOST_KB = 130 * 1_024;

    /** A process with a Thrift listener, its backends, and what became of its clients' calls. */
    private static final class Play implements Closeable {
        private final String padding = "x".repeat(LONG);
        private final InetSocketAddress address = ReservedAddress.next();
        private final Path file = Files.createTempFile("thrift", ".toml");
        private final Peer discovery = new Peer();
        private final PeerFleet backends = new PeerFleet(BACKENDS, this::serve);
        private final Peer discoveryOverHttp = new Peer();
        private final PeerFleet backendsOverHttp;
        private final ProxyProcess proxy = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
        private final AtomicInteger asked = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final List<String> lost = java.util.Collections.synchronizedList(new ArrayList<>());
        private final AtomicLong longestNs = new AtomicLong();
        /** Of the answers of the HTTP listener in the same process. */
        private final AtomicLong longestOverHttpNs = new AtomicLong();

        private final AtomicInteger slowReplies = new AtomicInteger();
        /** Long answers over HTTP that have begun. */
        private final AtomicInteger slowOverHttp = new AtomicInteger();

        private final AtomicInteger slowEnded = new AtomicInteger();
        private volatile boolean over;

        Play(boolean outOfOrder, int numberOverHttp) throws Exception {
            discovery.always(Peer.ok(backends.list()));
            backendsOverHttp = new PeerFleet(numberOverHttp, LongAnswers::serve);
            discoveryOverHttp.always(Peer.ok(backendsOverHttp.list()));
            Files.writeString(
                    file,
                    InstallationText.pool("billing", discovery.socketAddress()).replace("\"http\"", "\"thrift\"")
                            + "[[thrift.method]]\nname = \"*\"\nclass = \"read\"\nrequest_id = \"1\"\n"
                            + InstallationText.listener("billing-in", address, "billing")
                                    .replace("\"http\"", "\"thrift\"")
                            + "out_of_order = " + outOfOrder + "\n");
            proxy.configure(discoveryOverHttp.socketAddress(), backendsOverHttp.list())
                    .start("--installation", file.toString())
                    .awaitReadyAtDoor();
            awaitServed();
        }

        private void serve(Wire wire) throws IOException {
            var in = new DataInputStream(wire.socket.getInputStream());
            wire.socket.setSoTimeout(0);
            for (var call = ThriftFrames.read(in); call != null; call = ThriftFrames.read(in)) {
                pause(WORK_MS);
                String text = "for " + call.text() + (call.name().equals("invoice") ? padding : "");
                wire.socket.getOutputStream().write(ThriftFrames.reply(call.name(), call.sequenceId(), text));
            }
        }

        /** The pool may have heard of its backends only a moment after it was called ready. */
        private void awaitServed() throws IOException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (System.nanoTime() - until < 0) {
                try (Wire wire = Wire.to(address)) {
                    wire.socket.getOutputStream().write(ThriftFrames.call("balance", 0, "first"));
                    if (ThriftFrames.read(new DataInputStream(wire.socket.getInputStream()))
                            .isReply()) {
                        return;
                    }
                }
                pause(REST_MS);
            }
            throw new IllegalStateException("no call was answered: " + proxy.log());
        }

        Thread ordinary(int number) {
            var thread = new Thread(() -> {
                Wire wire = null;
                for (int i = 0; !over; i++) {
                    pause(REST_MS);
                    wire = ask(wire, "u" + number + "-" + i);
                }
                close(wire);
            });
            thread.start();
            return thread;
        }

        /** Asks the platform's listener, which speaks HTTP, whether it is ready. */
        Thread overHttp() {
            var thread = new Thread(() -> {
                while (!over) {
                    pause(REST_MS);
                    long began = System.nanoTime();
                    if (!ProxyProcess.ready(proxy.address())) {
                        lost.add("GET /ready");
                    }
                    longestOverHttpNs.accumulateAndGet(System.nanoTime() - began, Math::max);
                }
            });
            thread.start();
            return thread;
        }

        /** Asks by a connection, or a new one where it is null. Returns the one for the next call, or null. */
        private Wire ask(Wire before, String id) {
            long began = System.nanoTime();
            Wire wire = before;
            try {
                if (wire == null) {
                    wire = Wire.to(address);
                    wire.socket.setSoTimeout(PATIENCE_MS + GRACE_MS);
                }
                asked.incrementAndGet();
                wire.socket.getOutputStream().write(ThriftFrames.call("balance", 1, id));
                var reply = ThriftFrames.read(new DataInputStream(wire.socket.getInputStream()));
                if (reply == null) {
                    throw new IOException("its connection has ended");
                }
                (reply.isReply() && reply.text().equals("for " + id) ? served : refused).incrementAndGet();
                longestNs.accumulateAndGet(System.nanoTime() - began, Math::max);
                return wire;
            } catch (SocketTimeoutException e) {
                lost.add(id + " has no reply");
            } catch (IOException e) {
                lost.add(id + ": " + e);
            }
            close(wire);
            return null;
        }

        private static void close(Wire wire) {
            try {
                if (wire != null) {
                    wire.close();
                }
            } catch (IOException e) {
                // It is of no further use.
            }
        }

        private static String get(String id) {
            return "GET /api HTTP/1.1\r\nHost: service\r\nX-Request-ID: " + id
                    + "\r\nX-Tenant-Id: large\r\nX-Timeout: 1900m\r\nX-Priority-Class: read\r\n\r\n";
        }

        /** Reads long answers over HTTP, one after the other. */
        void slowOverHttp(int number) {
            Peer.background(() -> {
                for (int round = 0; !over; round++) {
                    try (Wire wire = Wire.narrow(proxy.address())) {
                        wire.send(get(LongAnswers.AT_ONCE + number + "-" + round));
                        if (wire.head().status() == 200) {
                            slowOverHttp.incrementAndGet();
                            while (!over) {
                                wire.body(STEP_OVER_HTTP);
                                pause(STEP_OVER_HTTP_MS);
                            }
                        }
                    } catch (IOException e) {
                        slowEnded.addAndGet(over ? 0 : 1);
                    }
                    pause(100);
                }
            });
        }

        Thread ordinaryOverHttp(int number) {
            var thread = new Thread(() -> {
                for (int i = 0; !over; i++) {
                    pause(REST_MS);
                    askOverHttp(LongAnswers.SHORT + number + "-" + i);
                }
            });
            thread.start();
            return thread;
        }

        private void askOverHttp(String id) {
            long began = System.nanoTime();
            try (Wire wire = Wire.to(proxy.address())) {
                wire.socket.setSoTimeout(PATIENCE_MS + GRACE_MS);
                asked.incrementAndGet();
                int status = wire.send(get(id)).read().status();
                (status == 200 ? served : refused).incrementAndGet();
            } catch (IOException | RuntimeException e) {
                lost.add(id + ": " + e);
            }
            longestOverHttpNs.accumulateAndGet(System.nanoTime() - began, Math::max);
        }

        /** Has some calls for long replies open, reads so many bytes a second, and begins again where it is cut off. */
        void slow(int number, int bytesPerSecond) {
            Peer.background(() -> {
                for (int round = 0; !over; round++) {
                    try (Wire wire = Wire.to(address)) {
                        readSlowly(wire, "l" + number + "-" + round + "-", bytesPerSecond);
                    } catch (IOException e) {
                        // Cut off.
                    }
                    slowEnded.addAndGet(over ? 0 : 1);
                    pause(1_000);
                }
            });
        }

        private void readSlowly(Wire wire, String name, int bytesPerSecond) throws IOException {
            var room = new Semaphore(OPEN);
            Peer.background(() -> {
                for (int i = 0; !over; i++) {
                    room.acquireUninterruptibly();
                    wire.socket.getOutputStream().write(ThriftFrames.call("invoice", i, name + i));
                }
            });
            wire.socket.setSoTimeout(0);
            InputStream in = wire.socket.getInputStream();
            int step = (int) (bytesPerSecond * STEP_MS / 1_000);
            byte[] unread = new byte[0];
            while (!over) {
                pause(STEP_MS);
                if (step == 0) {
                    // Goes on asking.
                    room.release();
                    continue;
                }
                byte[] more = new byte[step];
                int read = in.read(more);
                if (read < 0) {
                    return;
                }
                byte[] all = java.util.Arrays.copyOf(unread, unread.length + read);
                System.arraycopy(more, 0, all, unread.length, read);
                unread = takeReplies(all, room);
            }
        }

        /** Takes whole replies out; returns what is left. */
        private byte[] takeReplies(byte[] all, Semaphore room) throws IOException {
            int from = 0;
            while (all.length - from >= Integer.BYTES) {
                int length = new DataInputStream(new ByteArrayInputStream(all, from, Integer.BYTES)).readInt();
                if (all.length - from - Integer.BYTES < length) {
                    break;
                }
                from += Integer.BYTES + length;
                slowReplies.incrementAndGet();
                room.release();
            }
            return java.util.Arrays.copyOfRange(all, from, all.length);
        }

        /** Goes on for a while, and ends the ordinary clients. */
        void last(List<Thread> ordinary) throws InterruptedException {
            Thread.sleep(LASTS_MS);
            over = true;
            for (Thread client : ordinary) {
                client.join();
            }
        }

        void assertOrdinaryOnesAreAnswered() throws IOException {
            assertThat(lost).as("%s", proxy.log()).isEmpty();
            assertThat(refused.get()).isLessThan(asked.get() / 20);
            assertThat(longestNs.get()).isLessThan(TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS + GRACE_MS));
            assertThat(proxy.peakKb()).isLessThan(MOST_KB);
            assertThat(closedByMemory()).as("%s", proxy.log()).isZero();
        }

        private int closedByMemory() throws IOException {
            return proxy.figures().path("events").path("closed_answers_untaken").asInt();
        }

        @Override
        public String toString() {
            return String.format(
                    "%d asked, %d refused, %d lost, worst %d ms, over HTTP %d ms",
                    asked.get(),
                    refused.get(),
                    lost.size(),
                    longestNs.get() / 1_000_000,
                    longestOverHttpNs.get() / 1_000_000);
        }

        @Override
        public void close() throws IOException {
            over = true;
            proxy.close();
            backends.close();
            discovery.close();
            backendsOverHttp.close();
            discoveryOverHttp.close();
            Files.delete(file);
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest(name = "{0} clients read {1} bytes a second, out of order {2}")
    @CsvSource({"24, 64000, true", "24, 64000, false", "24, 1000, true", "24, 0, true", "200, 64000, true"})
    void ordinaryCallsAreAnsweredBesideSlowReaders(int slow, int bytesPerSecond, boolean outOfOrder) throws Exception {
        try (var play = new Play(outOfOrder, 1)) {
            for (int i = 0; i < slow; i++) {
                play.slow(i, bytesPerSecond);
            }
            var ordinary = new ArrayList<Thread>();
            for (int i = 0; i < ORDINARY; i++) {
                ordinary.add(play.ordinary(i));
            }
            ordinary.add(play.overHttp());
            play.last(ordinary);
            var events = play.proxy.figures().path("events");
            int cutOff = events.path("closed_client_takes_nothing").asInt();
            System.out.printf(
                    "%d slow readers, %d bytes a second: %s; slow ones: %d replies, %d cut off by the rate%n",
                    slow, bytesPerSecond, play, play.slowReplies.get(), cutOff);
            play.assertOrdinaryOnesAreAnswered();
            if (bytesPerSecond < LEAST_RATE) {
                assertThat(cutOff).as("who reads less than the least").isGreaterThanOrEqualTo(slow);
            } else {
                assertThat(cutOff).as("%s", play.proxy.log()).isZero();
                assertThat(play.slowEnded.get()).isZero();
            }
        }
    }

    /** The same where what waits for slow clients are answers over HTTP, on the other listener of the process. */
    @Test
    void ordinaryCallsAreAnsweredBesideSlowReadersOverHttp() throws Exception {
        try (var play = new Play(true, BACKENDS_OVER_HTTP)) {
            for (int i = 0; i < SLOW_OVER_HTTP; i++) {
                play.slowOverHttp(i);
            }
            var ordinary = new ArrayList<Thread>();
            for (int i = 0; i < ORDINARY; i++) {
                ordinary.add(play.ordinary(i));
                ordinary.add(play.ordinaryOverHttp(i));
            }
            play.last(ordinary);
            System.out.printf(
                    "%d slow readers over HTTP: %s; slow ones: %d answers begun%n",
                    SLOW_OVER_HTTP, play, play.slowOverHttp.get());
            play.assertOrdinaryOnesAreAnswered();
            assertThat(play.slowOverHttp.get()).isEqualTo(SLOW_OVER_HTTP);
            assertThat(play.slowEnded.get()).isZero();
        }
    }
}
