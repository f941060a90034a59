package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A planned restart, and the limit on sockets. */
class ServeTest {
    /** Asked of a proxy that is not ready; the answer keeps the connection. */
    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    /** All of it together, with the module that is in service: it watches, serves, tries elsewhere, and refuses. */
    @Test
    void servesWithTheModule() throws Exception {
        var dead = new Peer();
        dead.close();
        try (var backend = new Peer();
                var proxy = Fixture.inService(dead, backend);
                var client = proxy.client()) {
            backend.always(Peer.ok("served"));
            Wire call = proxy.discovery.accept();
            assertThat(call.read().first()).contains("from=41&hold_ms=0");
            for (int i = 0; i < 10; i++) {
                assertThat(client.send(Fixture.post("r" + i, "pay")).read().body())
                        .isEqualTo("served");
            }
            call.send(Peer.ok(Fixture.list(42, true)));
            proxy.discovery.accept().read();
            Wire.Message answer = client.send(Fixture.get("none")).read();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).matches("[01]\\.[0-9]{3}");
        }
    }

    /** Rule 1 at a restart: what is taken is answered, new clients are served while the front still sends them. */
    @Test
    void answersAllThatItHasTakenBeforeItEnds() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var busy = proxy.client();
                var idle = proxy.client();
                var used = proxy.client()) {
            busy.send(Fixture.get("r1"));
            Wire slow = backend.accept();
            slow.read();
            idle.send(READY).read();
            used.send(READY).read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            // The signal shows in the answers: each is its connection's last.
            Wire.Message answer = used.send(READY).read();
            while (answer.header("Connection") == null) {
                answer = used.send(READY).read();
            }
            assertThat(answer.header("Connection")).isEqualTo("close");
            assertThat(used.ended()).isTrue();
            try (var late = proxy.client()) {
                late.send(Fixture.get("r2"));
                Wire attempt = backend.accept();
                attempt.read();
                attempt.send(Peer.ok("late"));
                answer = late.read();
                assertThat(answer.body()).isEqualTo("late");
                assertThat(answer.header("Connection")).isEqualTo("close");
            }
            assertThat(idle.ended()).isTrue();
            assertThat(drained).isNotDone();
            slow.send(Peer.ok("slow"));
            answer = busy.read();
            assertThat(answer.body()).isEqualTo("slow");
            assertThat(busy.ended()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** Connections that hold no request, idle or silent, are given up for clients that ask something. */
    @Test
    void givesUpConnectionsThatHoldNoRequest() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), 128, 15_000_000, backend)) {
            backend.always(Peer.ok("x"));
            Wire idle = proxy.client();
            crowd.add(idle);
            assertThat(idle.send(READY).read().status()).isEqualTo(503);
            for (int i = 0; i < 300; i++) {
                crowd.add(proxy.client());
            }
            try (var client = proxy.client()) {
                assertThat(client.send(Fixture.get("r1")).read().status()).isEqualTo(200);
            }
            assertThat(idle.ended()).isTrue();
        } finally {
            for (Wire client : crowd) {
                client.close();
            }
        }
    }

    /** Where places run short, answers end their connections: no client finds its own closed in its face. */
    @Test
    void answersEndTheirConnectionsInACrowd() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var proxy = new Fixture((event, actions) -> {}, 128, 15_000_000)) {
            for (int i = 0; i < 40; i++) {
                crowd.add(proxy.client().send(Fixture.get("r" + i)));
                proxy.next(Arrival.class);
            }
            Wire more = proxy.client();
            crowd.add(more);
            assertThat(more.send(READY).read().header("Connection")).isEqualTo("close");
        } finally {
            for (Wire client : crowd) {
                client.close();
            }
        }
    }

    /** Where all hold a request, whoever comes next waits to be accepted, and is served when there is room again. */
    @Test
    void acceptsAgainOnceThereIsRoom() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a && a.id().startsWith("last")) {
                                Fixture.sendTo("s0").handle(event, actions);
                            }
                        },
                        128,
                        15_000_000,
                        backend)) {
            backend.always(Peer.ok("x"));
            for (int i = 0; i < 100; i++) {
                crowd.add(proxy.client().send(Fixture.get("r" + i)));
            }
            Wire last = proxy.client().send(Fixture.get("last"));
            crowd.add(last);
            // The silent ones are answered in the end, by the proxy, and make room.
            assertThat(last.read()).isNotNull();
            for (Wire client : List.copyOf(crowd).subList(0, 20)) {
                assertThat(client.read().status()).isEqualTo(502);
            }
        } finally {
            for (Wire client : crowd) {
                client.close();
            }
        }
    }

    /** Incident 52: a file that can't be read is no file that is wrong. It is read as soon as that can be, without another signal. */
    @Test
    void aNewConfigurationThatCannotBeReadIsTakenLater() throws Exception {
        Path file = Files.createTempDirectory("config").resolve("config.json");
        try (var next = new Peer();
                var proxy = Fixture.inService()) {
            proxy.discovery.accept().read();
            Files.createDirectory(file);
            proxy.reload(file);
            Files.delete(file);
            Files.writeString(file, Fixture.config(next.address()));
            assertThat(next.accept().read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
        } finally {
            Files.deleteIfExists(file);
            Files.delete(file.getParent());
        }
    }

    /** A file that is read in the middle of its writing. */
    @Test
    void aNewConfigurationThatIsHalfWrittenIsTakenOnceItIsWhole() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try (var next = new Peer();
                var proxy = Fixture.inService()) {
            proxy.discovery.accept().read();
            String whole = Fixture.config(next.address());
            Files.writeString(file, whole.substring(0, whole.length() / 2));
            proxy.reload(file);
            Files.writeString(file, whole);
            assertThat(next.accept().read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
        } finally {
            Files.delete(file);
        }
    }

    /** The program as it runs in service: without a handler SIGHUP would end it. */
    @Test
    void readsItsFileAgainOnSighup() throws Exception {
        readsItsFileAgain(
                "exec \"$@\"",
                process -> new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .inheritIO()
                        .start()
                        .waitFor());
    }

    /** Started by nohup, say: the Java runtime takes no handler then, and the signal is lost without a word. */
    @Test
    void readsItsFileAgainWhereSighupIsIgnored() throws Exception {
        readsItsFileAgain("trap '' HUP; exec \"$@\"", process -> {});
    }

    /** How a process is told that its file was written. */
    private interface Telling {
        void tell(Process process) throws Exception;
    }

    private static void readsItsFileAgain(String start, Telling telling) throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try (var first = new Peer();
                var second = new Peer()) {
            Files.writeString(file, Fixture.config(first.address()));
            var command = new ProcessBuilder(
                    "/bin/sh",
                    "-c",
                    start,
                    "sh",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "grebehoist.cli.Main",
                    "serve");
            command.environment().put("PROXY_CONFIG", file.toString());
            Process process = command.inheritIO().start();
            try {
                first.accept().read();
                Files.writeString(file, Fixture.config(second.address()));
                telling.tell(process);
                assertThat(second.accept().read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
                process.destroy();
                assertThat(process.waitFor()).isZero();
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }
}
