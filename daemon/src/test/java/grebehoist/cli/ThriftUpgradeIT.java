package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.testkit.ReservedAddress;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against issue 77, {@code review/7}: during an upgrade an unsafe Thrift call whose id was open at one process of the proxy, or had
 * run there, was sent on by the other one as well.
 */
@Timeout(120)
class ThriftUpgradeIT {
    private static final int PAYMENTS = 12;
    private static final int BACKENDS = 12;
    /** So long that the id comes again while its payment runs. */
    private static final long WORK_MS = 800;

    private static final long LEAVES_MS = 100;
    private static final long COMES_AGAIN_MS = 300;
    private static final String FAILED = "failed: it may have taken effect";
    private static final String OPEN = "a request with this id is being served";

    /** Two processes of one proxy with a Thrift listener, clients' connections to the old one, and backends that count. */
    private static final class Upgrade implements Closeable {
        private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        private final ExecutorService clients = Executors.newCachedThreadPool();
        private final List<Wire> kept = new ArrayList<>();
        private final InetSocketAddress address = ReservedAddress.next();
        private final Path file = Files.createTempFile("thrift", ".toml");
        private final Peer discovery = new Peer();
        private final PeerFleet backends;
        private final ProxyProcess old;
        private final ProxyProcess young;

        /** Starts the old process, connects to it, and starts the new one. */
        Upgrade(String requestId) throws Exception {
            backends = new PeerFleet(BACKENDS, this::count);
            discovery.always(Peer.ok(backends.list()));
            Files.writeString(file, installation(requestId));
            old = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
            young = old.newVersion();
            start(old);
            for (int i = 0; i < PAYMENTS; i++) {
                kept.add(connection(i));
            }
            start(young);
        }

        private String installation(String requestId) {
            return InstallationText.pool("billing", discovery.socketAddress()).replace("\"http\"", "\"thrift\"")
                    + "[[thrift.method]]\nname = \"*\"\nclass = \"vote\"\n" + requestId + "\n"
                    + InstallationText.listener("billing-in", address, "billing")
                            .replace("\"http\"", "\"thrift\"");
        }

        private void start(ProxyProcess process) throws Exception {
            process.configure(discovery.socketAddress(), backends.list())
                    .start("--installation", file.toString())
                    .awaitReadyAtDoor();
        }

        private void count(Wire wire) throws IOException {
            var in = new DataInputStream(wire.socket.getInputStream());
            for (var call = ThriftFrames.read(in); call != null; call = ThriftFrames.read(in)) {
                runs.computeIfAbsent(call.text(), id -> new AtomicInteger()).incrementAndGet();
                if (call.text().startsWith("payment")) {
                    pause(WORK_MS);
                }
                wire.socket.getOutputStream().write(ThriftFrames.reply(call.name(), call.sequenceId(), "done"));
            }
        }

        /** Returns a connection on which a call has been answered. The pool may have heard of its backends only after that. */
        private Wire connection(int number) throws IOException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            for (int i = 0; System.nanoTime() - until < 0; i++) {
                Wire wire = Wire.to(address);
                if (ask(wire, "first-" + number + "-" + i).isReply()) {
                    return wire;
                }
                wire.close();
                pause(50);
            }
            throw new IllegalStateException("no call was answered: " + old.log());
        }

        private static ThriftFrames.Message ask(Wire wire, String id) throws IOException {
            wire.socket.getOutputStream().write(ThriftFrames.call("pay", 1, id));
            return ThriftFrames.read(new DataInputStream(wire.socket.getInputStream()));
        }

        /** Sends a payment by the connection that its client has kept to the old process. */
        Future<ThriftFrames.Message> payByOld(int number) {
            return clients.submit(() -> ask(kept.get(number), id(number)));
        }

        /** Sends a payment by a connection of its own, which either process may accept. */
        Future<ThriftFrames.Message> payAnew(int number) {
            return clients.submit(() -> {
                try (Wire wire = Wire.to(address)) {
                    return ask(wire, id(number));
                }
            });
        }

        /** Sends a payment by a connection of its own, and leaves before it is answered. */
        Future<Void> payAndLeave(int number) {
            return clients.submit(() -> {
                try (Wire wire = Wire.to(address)) {
                    wire.socket.getOutputStream().write(ThriftFrames.call("pay", 1, id(number)));
                    pause(LEAVES_MS);
                }
                return null;
            });
        }

        static String id(int number) {
            return "payment-" + number;
        }

        void assertOnceEach() throws IOException {
            assertThat(runs.keySet().stream().filter(id -> id.startsWith("payment")))
                    .as("%s%n%s", old.log(), young.log())
                    .hasSizeGreaterThan(PAYMENTS / 2);
            assertThat(runs)
                    .allSatisfy((id, count) -> assertThat(count.get()).as(id).isEqualTo(1));
        }

        @Override
        public void close() throws IOException {
            clients.shutdownNow();
            for (Wire wire : kept) {
                wire.close();
            }
            young.close();
            old.close();
            backends.close();
            discovery.close();
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

    private interface Sending<T> {
        Future<T> send(int number);
    }

    private static <T> List<Future<T>> all(Sending<T> sending) {
        var sent = new ArrayList<Future<T>>();
        for (int i = 0; i < PAYMENTS; i++) {
            sent.add(sending.send(i));
        }
        return sent;
    }

    /** Returns what was told, or null where the connection has ended. */
    private static <T> T told(Future<T> answer) throws Exception {
        return answer.get(20, TimeUnit.SECONDS);
    }

    /**
     * Most of those who come second are told that the id is open or may have run. A fresh process may have refused the first one, with a
     * promise of no effect: then the second may be served, or refused too.
     */
    private static void assertMostNotServed(List<Future<ThriftFrames.Message>> second) throws Exception {
        int notServed = 0;
        for (Future<ThriftFrames.Message> answer : second) {
            ThriftFrames.Message message = told(answer);
            assertThat(message).as("an answer").isNotNull();
            notServed += message.text().equals(FAILED) || message.text().equals(OPEN) ? 1 : 0;
        }
        assertThat(notServed).isGreaterThan(PAYMENTS / 2);
    }

    /** Most are served, and none fails. */
    private static void assertMostServed(List<Future<ThriftFrames.Message>> answers) throws Exception {
        int served = 0;
        for (Future<ThriftFrames.Message> answer : answers) {
            ThriftFrames.Message message = told(answer);
            assertThat(message).as("an answer").isNotNull();
            assertThat(message.text()).matches("done|refused: .*");
            served += message.isReply() ? 1 : 0;
        }
        assertThat(served).isGreaterThan(PAYMENTS / 2);
    }

    /** The payment is open at the old process, which is told to end or killed, and its id comes by new connections. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "KILL"})
    void anIdThatIsOpenAtTheOldProcessIsNotSentOnByTheNewOne(String signal) throws Exception {
        try (var upgrade = new Upgrade("request_id = \"1\"")) {
            List<Future<ThriftFrames.Message>> first = all(upgrade::payByOld);
            pause(LEAVES_MS);
            upgrade.old.signal(signal);
            pause(COMES_AGAIN_MS - LEAVES_MS);
            assertMostNotServed(all(upgrade::payAnew));
            if (signal.equals("TERM")) {
                assertMostServed(first);
            }
            upgrade.assertOnceEach();
        }
    }

    /** Its client leaves, and the id comes again while the payment runs, or after it has run. */
    @ParameterizedTest
    @ValueSource(longs = {COMES_AGAIN_MS, 2_000})
    void anIdWhoseClientHasLeftIsNotSentOnAgain(long comesAgainMs) throws Exception {
        try (var upgrade = new Upgrade("request_id = \"1\"")) {
            all(upgrade::payAndLeave);
            pause(comesAgainMs);
            assertMostNotServed(all(upgrade::payAnew));
            upgrade.assertOnceEach();
        }
    }

    /** The payments are with either process, and their ids come by connections that have been kept to the old one. */
    @Test
    void anIdThatIsOpenAtTheNewProcessIsNotSentOnByTheOldOne() throws Exception {
        try (var upgrade = new Upgrade("request_id = \"1\"")) {
            List<Future<ThriftFrames.Message>> first = all(upgrade::payAnew);
            pause(COMES_AGAIN_MS);
            assertMostNotServed(all(upgrade::payByOld));
            assertMostServed(first);
            upgrade.assertOnceEach();
        }
    }

    /** Ids that the processes make for calls without one are the same in both, and are nobody else's calls. */
    @Test
    void callsWithoutAnIdAreServedByBothProcesses() throws Exception {
        try (var upgrade = new Upgrade("")) {
            List<Future<ThriftFrames.Message>> byOld = all(upgrade::payByOld);
            List<Future<ThriftFrames.Message>> anew = all(upgrade::payAnew);
            assertMostServed(byOld);
            assertMostServed(anew);
        }
    }
}
