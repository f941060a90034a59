package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.testkit.Fleet;
import grebehoist.testkit.ReservedAddress;
import grebehoist.testkit.Rig;
import grebehoist.testkit.Witness;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Three machines that are set aside, two proxies under load and a writer, whole processes: what is told once holds at all. */
@Timeout(120)
class DistributionIT {
    private static final long S = 1_000_000;
    private static final String SCOPE = "c1/billing";

    @TempDir
    private Path folder;

    /** Begins a proxy with two pools, which the witness knows as two proxies: the installation's and the platform's. */
    private static void begin(Rig rig, ControlFleet control, ProxyProcess proxy, int number) throws Exception {
        InetSocketAddress more = ReservedAddress.next();
        String file = control.proxyFile(
                number,
                InstallationText.pool("more", rig.discoveryOfNextProxy())
                        + InstallationText.listener("in", more, "more"),
                "fleet",
                SCOPE);
        proxy.configure(rig.discoveryOfNextProxy(), rig.on(rig.discovery()::known))
                .start("--installation", file)
                .awaitReady();
        rig.await("the installed pool is ready", () -> ProxyProcess.ready(more));
        rig.proxyAt(more);
        rig.proxyAt(proxy.address());
    }

    /** Returns when, on the rig's clock, a version came into force at a proxy; -1 where it is not. */
    private static long inForceAt(Rig rig, ProxyProcess proxy, String scope, long version) {
        try {
            for (String text : proxy.log().split("\n")) {
                if (text.startsWith("{") && text.contains("\"in_force\"")) {
                    JsonNode line = Fixture.json(text);
                    if (line.path("scope").asText().equals(scope)
                            && line.path("version").asLong() >= version) {
                        return rig.now()
                                - (System.nanoTime() / 1_000 - line.path("t_us").asLong());
                    }
                }
            }
            return -1;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a suspension is in force at both, and has the witness hold them to it from that moment on. */
    private static void awaitSuspended(Rig rig, List<ProxyProcess> proxies, String backend, long version) {
        for (int i = 0; i < proxies.size(); i++) {
            int number = i;
            rig.await(
                    "version " + version + " is in force at p" + i,
                    () -> inForceAt(rig, proxies.get(number), SCOPE, version) >= 0);
            long at = inForceAt(rig, proxies.get(number), SCOPE, version);
            rig.run(() -> {
                rig.witness().told(2 * number, backend, false, at);
                rig.witness().told(2 * number + 1, backend, false, at);
            });
        }
    }

    private static void tellAll(Rig rig, String backend, boolean wanted) {
        rig.run(() -> {
            for (int i = 0; i < 4; i++) {
                rig.witness().told(i, backend, wanted, rig.now());
            }
        });
    }

    /** On the test's own thread: the command takes a second, and the stand-ins' clients must not wait for it. */
    private static void awaitInForce(ControlFleet control, long version, long proxies) throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        JsonNode status = control.status(SCOPE).get(0);
        while (status.path("version").asLong() != version
                || status.path("known").asLong() != proxies
                || status.path("in_force").asLong() != proxies) {
            assertThat(System.nanoTime() - until).as(status.toString()).isNegative();
            status = control.status(SCOPE).get(0);
        }
    }

    private static JsonNode scope(ProxyProcess at) throws IOException {
        for (JsonNode scope : at.distribution().path("scopes")) {
            if (scope.path("scope").asText().equals(SCOPE)) {
                return scope;
            }
        }
        throw new IllegalStateException("not subscribed");
    }

    @Test
    void whatIsSuspendedOnceIsSuspendedEverywhere() throws Exception {
        try (var rig = ProcessIT.rig();
                var control = new ControlFleet(folder, 2);
                var first = new ProxyProcess("n0", ProcessIT.settings(0)).withDoor();
                var second = new ProxyProcess("n1", ProcessIT.settings(1)).withDoor()) {
            control.start();
            begin(rig, control, first, 0);
            begin(rig, control, second, 1);
            List<ProxyProcess> proxies = List.of(first, second);
            rig.load(3, 90 * S);
            Fleet.Machine out = rig.fleet().staying().get(0);
            Fleet.Machine other = rig.fleet().staying().get(1);
            JsonNode early = control.change("suspend", SCOPE, out.id());
            assertThat(early.path("result").asText()).as(early.toString()).isEqualTo("refused");
            assertThat(early.path("why").asText()).contains("unknown scope");
            assertThat(control.change("create", SCOPE, "").path("result").asText())
                    .isEqualTo("taken");
            assertThat(control.change("create", "fleet", "").path("result").asText())
                    .isEqualTo("taken");
            rig.awaitServed(200);

            JsonNode suspended = control.change("suspend", SCOPE, out.id());
            assertThat(suspended.path("result").asText())
                    .as(suspended.toString())
                    .isEqualTo("taken");
            assertThat(suspended.path("version").asLong()).isEqualTo(1);
            awaitSuspended(rig, proxies, out.id(), 1);
            rig.awaitServed(300);
            // The operators of one proxy take it out too, and put it back: it stays out.
            assertThat(first.call("POST", "/v1/backends/" + out.id() + "/suspend"))
                    .isEqualTo(200);
            assertThat(first.call("POST", "/v1/backends/" + out.id() + "/resume"))
                    .isEqualTo(200);
            rig.awaitServed(200);
            assertThat(first.figures().path("pool_ejected").asInt()).isEqualTo(1);
            awaitInForce(control, 1, 2);

            tellAll(rig, out.id(), true);
            long before = rig.on(() -> out.backend().runs());
            assertThat(control.change("resume", SCOPE, out.id()).path("version").asLong())
                    .isEqualTo(2);
            rig.await("it is used again", () -> out.backend().runs() > before);
            rig.awaitServed(200);

            control.kill(0);
            JsonNode third = control.change("suspend", SCOPE, other.id());
            assertThat(third.path("result").asText()).as(third.toString()).isEqualTo("taken");
            awaitSuspended(rig, proxies, other.id(), 3);
            rig.awaitServed(200);

            control.kill(1);
            // A writer that begins asks first: it finds that nobody can take it, and has offered it to nobody.
            JsonNode refused = control.changeOnce("--scope", SCOPE, "--suspend", out.id());
            assertThat(refused.path("exit").asInt()).isEqualTo(1);
            assertThat(refused.path("result").asText()).as(refused.toString()).isEqualTo("refused");
            assertThat(refused.path("why").asText()).isEqualTo("2 of 3 holders did not answer");
            rig.awaitServed(300);
            for (ProxyProcess proxy : proxies) {
                assertThat(scope(proxy).path("version").asLong()).isEqualTo(3);
                assertThat(proxy.distribution().path("suspended").asInt()).isEqualTo(1);
            }
            assertThat(Fixture.json(control.get(2, "/v1/distribution?scope=" + SCOPE)
                                    .body())
                            .path("scopes")
                            .path(0)
                            .path("version")
                            .asLong())
                    .isEqualTo(3);
            assertThat(control.endWriter()).as("its first was refused").isEqualTo(1);

            Witness witness = rig.finish();
            String verdict = rig.on(witness::verdict);
            System.out.println(verdict);
            assertThat(rig.on(witness::violations)).as(verdict).isEmpty();
        }
    }

    /** A door that hears nonsense goes on answering, and nothing has changed. */
    @Test
    void whatIsNoCallChangesNothing() throws Exception {
        try (var control = new ControlFleet(folder, 0)) {
            control.start();
            assertThat(control.change("create", SCOPE, "").path("result").asText())
                    .isEqualTo("taken");
            assertThat(control.change("suspend", SCOPE, "s-1").path("result").asText())
                    .isEqualTo("taken");
            // Taken means by two machines of three: this one may hear of it a moment later.
            String before = control.get(0, "/v1/distribution?scope=" + SCOPE).body();
            while (!before.contains("\"version\":1,")) {
                TimeUnit.MILLISECONDS.sleep(10);
                before = control.get(0, "/v1/distribution?scope=" + SCOPE).body();
            }
            for (String call : List.of(
                    "",
                    "{",
                    "[]",
                    "{\"call\":\"open\"}",
                    "{\"call\":\"create\",\"machine\":0,\"scope\":\"\",\"base\":0}",
                    "{\"call\":\"open\",\"machine\":1,\"scope\":\"" + SCOPE + "\",\"epoch\":9000000000000}")) {
                Wire.Message answer = control.post(0, "/v1/distribution/call", call);
                assertThat(answer.status()).as(call + answer.body()).isEqualTo(400);
                assertThat(Fixture.json(answer.body()).path("error").asText()).isNotEmpty();
            }
            Wire.Message old = control.post(
                    0,
                    "/v1/distribution/call",
                    "{\"call\":\"open\",\"machine\":0,\"scope\":\"" + SCOPE + "\",\"epoch\":1}");
            assertThat(old.status()).isEqualTo(200);
            assertThat(Fixture.json(old.body()).path("answer").asText()).isEqualTo("refusal");
            assertThat(control.get(0, "/v1/distribution?scope=" + SCOPE).body()).isEqualTo(before);
            assertThat(control.change("resume", SCOPE, "s-1").path("version").asLong())
                    .isEqualTo(2);
            assertThat(control.endWriter()).isZero();
        }
    }
}
