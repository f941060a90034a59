package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import grebehoist.testkit.Fleet;
import grebehoist.testkit.ReservedAddress;
import grebehoist.testkit.Rig;
import grebehoist.testkit.Witness;
import grebehoist.testkit.Witness.Count;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whole processes, started as the platform starts them, killed, stopped and told to end under load. */
@Timeout(120)
class ProcessIT {
    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    /** Cold code on a busy machine takes its time to accept whoever came while the process was stopped, but not this long. */
    private static final long MOST_CATCHING_UP_US = 2 * S;

    private static final double[] SHARES = {0.45, 0.3, 0.15, 0.1};

    static Balancer.Settings settings(int rank) {
        return new Balancer.Settings(
                2,
                rank,
                "u",
                4 * MS,
                List.of(
                        new RequestClass("read", 600 * MS, 2 * S, 1, 0, Effect.SAFE, Scope.ALL, 0),
                        new RequestClass("invoice", 600 * MS, 2_500 * MS, 2, 0, Effect.KEYED, Scope.ZONE, 12 * S),
                        new RequestClass("pay", 400 * MS, 2 * S, 10, 0, Effect.KEYED, Scope.ZONE, 1_200 * MS),
                        new RequestClass("vote", 600 * MS, 2 * S, 3, 0, Effect.UNSAFE, Scope.ALL, 0)),
                List.of(new Balancer.Tenant("large", 400), new Balancer.Tenant("small", 200)),
                0.05,
                false,
                new Balancer.Limits(true, false, false, true, 4, 2 * S),
                new Balancer.Rules(0.4, 8 * S, 4, S, 10 * S, false),
                1);
    }

    static Rig rig() {
        var rig = new Rig(settings(0), SHARES, 15 * S, 42);
        rig.machines(5);
        return rig;
    }

    private static void assertKept(Rig rig) {
        Witness witness = rig.finish();
        String verdict = rig.on(witness::verdict);
        System.out.println(verdict);
        assertThat(rig.on(witness::violations)).as(verdict).isEmpty();
    }

    /** What it held is lost with it; what comes after it is back is served, and no one else suffers. */
    @Test
    void killedUnderLoadAndBack() throws Exception {
        try (var rig = rig();
                var first = ProxyProcess.on(rig, "n0", settings(0));
                var second = ProxyProcess.on(rig, "n1", settings(1))) {
            rig.load(3, 30 * S);
            rig.awaitServed(200);
            rig.excuse(0, Long.MAX_VALUE);
            rig.avoid(0, true);
            first.signal("KILL");
            first.awaitEnd();
            rig.run(() -> rig.witness().forgetProxy(0));
            rig.awaitServed(100);
            first.start().awaitReady();
            rig.excuse(0, Long.MIN_VALUE);
            rig.avoid(0, false);
            rig.awaitServed(200);
            assertKept(rig);
            assertThat(second.alive()).isTrue();
        }
    }

    /**
     * Stopped for 3 s: deadlines pass, answers wait in its sockets, and so does the news that a backend drains. When it
     * goes on, nothing new goes there, and nothing goes out for clients that have left. It is to blame for what it does not answer
     * as soon as it has answered a client that queued last of all, which is to be soon.
     */
    @Test
    void stoppedForThreeSecondsWhileABackendDrains() throws Exception {
        try (var rig = rig();
                var first = ProxyProcess.on(rig, "n0", settings(0));
                var second = ProxyProcess.on(rig, "n1", settings(1))) {
            rig.load(3, 30 * S);
            rig.awaitServed(200);
            rig.excuse(0, Long.MAX_VALUE);
            first.stop();
            rig.run(() -> rig.witness().stopped(0, rig.now()));
            long until = rig.now() + 3 * S;
            Fleet.Machine drained = rig.fleet().staying().get(0);
            rig.run(() -> rig.later(rig.now() + S, () -> drained.drainUntil(Long.MAX_VALUE / 2)));
            rig.await("three seconds have passed", () -> rig.now() >= until);
            try (Wire last = Wire.to(first.address()).send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
                long goesOnAt = rig.now();
                first.signal("CONT");
                assertThat(last.read().status()).isEqualTo(200);
                assertThat(rig.now() - goesOnAt).as("it has caught up").isLessThan(MOST_CATCHING_UP_US);
            }
            // The answers that it has written by now are on their way.
            rig.excuse(0, rig.now() + Rig.SLACK_US);
            rig.awaitServed(200);
            assertKept(rig);
            System.out.println(
                    "written across the stop: " + rig.on(() -> rig.witness().writtenAcrossStops()));
            assertThat(rig.on(() -> rig.witness().count(Count.TOLD))).isEqualTo(2);
            assertThat(second.alive()).isTrue();
        }
    }

    /** A planned restart: all that was taken is answered, clients are sent elsewhere, and the process ends in its time. */
    @Test
    void toldToEndUnderLoad() throws Exception {
        try (var rig = rig();
                var first = ProxyProcess.on(rig, "n0", settings(0));
                var second = ProxyProcess.on(rig, "n1", settings(1))) {
            rig.load(3, 30 * S);
            rig.awaitServed(200);
            first.signal("TERM");
            long told = System.nanoTime();
            rig.later(rig.now() + 300 * MS, () -> rig.avoid(0, true));
            assertThat(first.awaitEnd()).isZero();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - told)).isLessThan(2_500 + 700);
            rig.awaitServed(100);
            assertKept(rig);
            assertThat(first.log()).contains("draining").contains("drained");
            assertThat(second.alive()).isTrue();
        }
    }

    /** The address of discovery changes under load, while the old one goes down and a backend drains at the new one. */
    @Test
    void toldOfAnotherDiscoveryUnderLoad() throws Exception {
        try (var rig = rig();
                var first = ProxyProcess.on(rig, "n0", settings(0))) {
            rig.load(2, 30 * S);
            rig.awaitServed(100);
            // The next listener of the same service; the witness knows it as another proxy's, so only service counts
            // here.
            InetSocketAddress other = rig.discoveryOfNextProxy();
            long calls = rig.on(rig.discovery()::calls);
            first.configure(other, null).signal("HUP");
            rig.await("it asks at the new address", () -> rig.discovery().calls() > calls);
            rig.awaitServed(200);
            assertThat(first.alive()).isTrue();
            assertThat(first.log()).contains("new configuration, discovery is at");
            assertKept(rig);
        }
    }

    /**
     * One that is killed before the list has ever changed comes back with the list that a new one is given, and would warm up
     * before clients that are there already: 8 s on half a core.
     */
    @Test
    void clientsThatAreThereEndTheWarmUp() throws Exception {
        try (var rig = rig();
                var proxy = new ProxyProcess("n0", settings(0))) {
            String unchanged = rig.on(rig.discovery()::known).replaceFirst("\"version\":\\d+", "\"version\":0");
            rig.proxyAt(proxy.address());
            rig.excuse(0, Long.MAX_VALUE);
            rig.load(2, 30 * S);
            proxy.configure(rig.discoveryOfNextProxy(), unchanged).start().awaitReady();
            rig.excuse(0, Long.MIN_VALUE);
            rig.awaitServed(100);
            assertKept(rig);
            assertThat(proxy.log()).contains("clients are here already");
        }
    }

    /** What is off costs nothing: neither the stand-ins nor the installation file's parser is loaded by {@code serve}. */
    @Test
    void loadsNothingOfWhatIsOff() throws Exception {
        Path classes = Files.createTempFile("classes", ".log");
        try (var rig = rig();
                var proxy = new ProxyProcess("n0", settings(0))) {
            proxy.configure(rig.discoveryOfNextProxy(), rig.on(rig.discovery()::known));
            var command = new ProcessBuilder(
                    "/bin/sh",
                    "-c",
                    ProxyProcess.runLine().replace("exec java ", "exec java -Xlog:class+load:file=" + classes + " "));
            command.directory(Path.of("..").toFile());
            command.environment().put("PROXY_CONFIG", proxy.configFile().toString());
            Process process = command.inheritIO().start();
            try {
                rig.proxyAt(proxy.address());
                rig.await("it is ready", () -> ProxyProcess.ready(proxy.address()));
                rig.load(1, 5 * S);
                rig.awaitServed(50);
                rig.finish();
            } finally {
                process.destroy();
                process.waitFor();
            }
            List<String> loaded = Files.readAllLines(classes);
            assertThat(loaded).anyMatch(l -> l.contains("grebehoist.http.HttpFront"));
            assertThat(loaded)
                    .noneMatch(l -> l.matches(
                            ".*(grebehoist\\.(testkit|search|demo|installation|thrift|fleet|peers|tasks|distribution|writer|members)|cli\\.Members|"
                                    + "cli\\.Distribution|operations\\.Distribution|net\\.DatagramPort|config\\.JsonLines|java\\.net\\.http|"
                                    + "dataformat\\.cbor|dataformat\\.toml|cli\\.InstalledPools).*"));
        } finally {
            Files.delete(classes);
        }
    }

    /** Two pools in one process beside the platform's; a listener whose port is taken takes nothing else down. */
    @Test
    void servesThePoolsOfAnInstallation() throws Exception {
        Path file = Files.createTempFile("installation", ".toml");
        try (var rig = rig();
                var taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var proxy = new ProxyProcess("n0", settings(0))) {
            InetSocketAddress billing = ReservedAddress.next();
            Files.writeString(
                    file,
                    InstallationText.pool("billing", rig.discoveryOfNextProxy())
                            + InstallationText.pool("archive", rig.discoveryOfNextProxy())
                            + InstallationText.listener("billing-in", billing, "billing")
                            + InstallationText.listener(
                                    "archive-in", (InetSocketAddress) taken.getLocalSocketAddress(), "archive"));
            proxy.configure(rig.discoveryOfNextProxy(), rig.on(rig.discovery()::known))
                    .start("--installation", file.toString())
                    .awaitReady();
            rig.await("the installed pool is ready", () -> ProxyProcess.ready(billing));
            // The first that is asked is the installation's, the last the platform's.
            rig.proxyAt(billing);
            rig.proxyAt(billing);
            rig.proxyAt(proxy.address());
            rig.load(2, 30 * S);
            rig.awaitServed(200);
            assertKept(rig);
            assertThat(proxy.log())
                    .contains("listener archive-in of pool archive does not start")
                    .contains("listener billing-in of pool billing");
            proxy.signal("TERM");
            assertThat(proxy.awaitEnd()).isZero();
        } finally {
            Files.delete(file);
        }
    }
}
