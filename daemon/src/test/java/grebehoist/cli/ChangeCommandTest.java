package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.installation.Installation;
import grebehoist.members.CommonSuspensions;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import grebehoist.testkit.ReservedAddress;
import grebehoist.writer.ChangeStream;
import grebehoist.writer.FleetStatus;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The commands against one machine in this process, against nobody, and against a door that says no. */
@Timeout(60)
class ChangeCommandTest {
    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final List<Network> networks = new ArrayList<>();

    @AfterEach
    void end() {
        networks.forEach(n -> n.loop()
                .parent()
                .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly());
    }

    private Path file(InetSocketAddress door) throws IOException {
        try (var socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return Files.writeString(folder.resolve("control.toml"), """
                    [distribution]
                    role = "control"
                    listen = "127.0.0.1:%d"
                    [[distribution.control]]
                    address = "127.0.0.1:%d"
                    door = "127.0.0.1:%d"
                    zone = "z"
                    [[distribution.key]]
                    id = 1
                    secret = "00112233445566778899aabbccddeeff"
                    """.formatted(
                            socket.getLocalPort(), socket.getLocalPort(), door.getPort()));
        }
    }

    /** One machine holds all there is. */
    private Installation.DistributionEntry machine() throws Exception {
        Installation.DistributionEntry entry =
                Installation.read(file(ReservedAddress.next())).distribution();
        Network network = Network.sockets();
        networks.add(network);
        var host = new Pool.Host(
                network,
                new LoopTimers(network.loop()),
                new Sockets(network.loop(), new StderrLog(), 1_024),
                new StderrLog());
        Distribution machine = Distribution.begin("c0", entry, host, new CommonSuspensions());
        machine.open();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!network.loop().submit(machine::ready).get()) {
            assertThat(System.nanoTime() - until).isNegative();
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return entry;
    }

    private boolean changes(Installation.DistributionEntry entry, String... lines) throws Exception {
        var stream = new ChangeStream(
                Distribution.layout(entry),
                entry.machines().stream().map(Installation.ControlEntry::door).toList(),
                new PrintStream(out, true, StandardCharsets.UTF_8));
        stream.addAll(new ByteArrayInputStream(String.join("\n", lines).getBytes(StandardCharsets.UTF_8)));
        return stream.end();
    }

    private List<JsonNode> told() throws IOException {
        var told = new ArrayList<JsonNode>();
        for (String line : out.toString(StandardCharsets.UTF_8).split("\n")) {
            told.add(Fixture.json(line));
        }
        out.reset();
        return told;
    }

    @Test
    void changesOfOneScopeGoInOrder() throws Exception {
        Installation.DistributionEntry entry = machine();
        var lines = new ArrayList<String>();
        lines.add("{\"op\":\"create\",\"scope\":\"a\"}");
        lines.add("{\"op\":\"create\",\"scope\":\"b/x\",\"base\":100}");
        for (int i = 0; i < 200; i++) {
            lines.add("{\"op\":\"set\",\"scope\":\"%s\",\"kind\":7,\"key\":\"k%d\",\"value\":\"v%d\"}"
                    .formatted(i % 2 == 0 ? "a" : "b/x", i % 10, i));
        }
        assertThat(changes(entry, lines.toArray(String[]::new))).isTrue();
        List<JsonNode> told = told();
        assertThat(told).hasSize(202).allMatch(l -> l.path("result").asText().equals("taken"));
        for (int i = 0; i < 200; i++) {
            assertThat(told.get(i + 2).path("key").asText()).isEqualTo("k" + i % 10);
            assertThat(told.get(i + 2).path("version").asLong()).isEqualTo(i / 2 + (i % 2 == 0 ? 1 : 101));
        }
        var status = new FleetStatus(
                Distribution.layout(entry),
                entry.machines().stream().map(Installation.ControlEntry::door).toList(),
                new PrintStream(out, true, StandardCharsets.UTF_8));
        assertThat(status.tell(null)).isTrue();
        told = told();
        assertThat(told).extracting(l -> l.path("scope").asText()).containsExactly("a", "b/x", "");
        assertThat(told.get(1).path("version").asLong()).isEqualTo(200);
        assertThat(told.get(1).path("holders").toString())
                .isEqualTo("[{\"machine\":0,\"version\":200,\"counts\":true}]");
        assertThat(told.get(2).path("answered").asInt()).isEqualTo(1);
    }

    /** What can't be read is told in its turn, and stops nothing. */
    @Test
    void badLinesAreRefusedAndTheRestIsDone() throws Exception {
        Installation.DistributionEntry entry = machine();
        assertThat(changes(
                        entry,
                        "{\"op\":\"create\",\"scope\":\"a\"}",
                        "",
                        "{\"op\":",
                        "[]",
                        "{\"op\":\"stop\",\"scope\":\"a\"}",
                        "{\"op\":\"suspend\",\"scope\":\"a\"}",
                        "{\"op\":\"suspend\",\"scope\":\"a\",\"key\":\"s\",\"value\":\"x\"}",
                        "{\"op\":\"set\",\"scope\":\"a\",\"kind\":256,\"key\":\"s\",\"value\":\"x\"}",
                        "{\"op\":\"suspend\",\"scope\":\"a\",\"key\":\"" + "x".repeat(49) + "\"}",
                        "{\"op\":\"suspend\",\"scope\":\"nobody's\",\"key\":\"s\"}",
                        "{" + " ".repeat(3_000) + "}",
                        "{\"op\":\"suspend\",\"scope\":\"a\",\"key\":\"s\"}"))
                .isFalse();
        List<JsonNode> told = told();
        assertThat(told)
                .extracting(l -> l.path("result").asText())
                .containsExactly(
                        "taken", "refused", "refused", "refused", "refused", "refused", "refused", "refused", "refused",
                        "refused", "taken");
        assertThat(told)
                .extracting(l -> l.path("why").asText())
                .satisfiesExactly(
                        w -> assertThat(w).isEmpty(),
                        w -> assertThat(w).startsWith("line 3: not JSON"),
                        w -> assertThat(w).isEqualTo("line 4: an object is wanted"),
                        w -> assertThat(w)
                                .isEqualTo("line 5: key 'op': 'stop' is none of create, suspend, resume, set, remove"),
                        w -> assertThat(w).isEqualTo("line 6: key 'key': missing"),
                        w -> assertThat(w).isEqualTo("line 7: key 'value': unknown for suspend"),
                        w -> assertThat(w)
                                .isEqualTo("line 8: key 'kind': a whole number from 0 to 255 is wanted, not 256"),
                        w -> assertThat(w).startsWith("line 9: key xxx").endsWith("1 to 48 are wanted"),
                        w -> assertThat(w).contains("unknown scope nobody's"),
                        w -> assertThat(w).isEqualTo("line 11: longer than 2048 bytes"),
                        w -> assertThat(w).isEmpty());
    }

    @Test
    void whereNobodyAnswersAChangeIsRefused() throws Exception {
        Path file = file(ReservedAddress.next());
        assertThat(changes(
                        Installation.read(file).distribution(), "{\"op\":\"suspend\",\"scope\":\"a\",\"key\":\"s\"}"))
                .isFalse();
        JsonNode told = told().get(0);
        assertThat(told.path("result").asText()).isEqualTo("refused");
        assertThat(told.path("why").asText()).isEqualTo("1 of 1 holders did not answer");
        assertThat(ChangeCommand.change("--installation", file.toString(), "--scope", "a", "--suspend", "s"))
                .isEqualTo(1);
        assertThat(ChangeCommand.status("--installation", file.toString(), "--scope", "a"))
                .isEqualTo(1);
    }

    /** All at once are more than a door bears: they wait their turn. */
    @Test
    void manyScopesGoSideBySide() throws Exception {
        Installation.DistributionEntry entry = machine();
        var lines = new ArrayList<String>();
        for (String op : List.of("create\"", "suspend\",\"key\":\"s\"")) {
            for (int i = 0; i < 1_200; i++) {
                lines.add("{\"op\":\"" + op + ",\"scope\":\"c" + i + "/x\"}");
            }
        }
        assertThat(changes(entry, lines.toArray(String[]::new))).isTrue();
        assertThat(told())
                .hasSize(2_400)
                .allMatch(l -> l.path("result").asText().equals("taken"));
        var status = new FleetStatus(
                Distribution.layout(entry),
                entry.machines().stream().map(Installation.ControlEntry::door).toList(),
                new PrintStream(out, true, StandardCharsets.UTF_8));
        assertThat(status.tell(null)).isTrue();
        assertThat(told()).as("page by page").hasSize(1_201);
    }

    /** This side's code is cold at its start, or the machine: what is not answered in time is asked once more. */
    @Test
    void whatIsNotAnsweredInTimeIsAskedOnceMore() throws Exception {
        try (var door = new Peer()) {
            Peer.background(() -> {
                Wire silent = door.accept();
                silent.read();
                Wire second = door.accept();
                second.read();
                second.send(Peer.answer(
                        "200 OK",
                        "{\"answer\":\"refusal\",\"why\":\"asked twice\",\"head\":-1,\"never\":false}",
                        "Connection: close"));
            });
            assertThat(changes(
                            Installation.read(file(door.socketAddress())).distribution(),
                            "{\"op\":\"suspend\",\"scope\":\"a\",\"key\":\"s\"}"))
                    .isFalse();
            assertThat(told().get(0).path("why").asText()).isEqualTo("asked twice");
        }
    }

    /** A machine that hangs costs a few seconds, not two for each change. */
    @Test
    void aDoorThatHangsIsLeftAloneForAWhile() throws Exception {
        try (var door = new Peer()) {
            var lines = new ArrayList<String>();
            for (int i = 0; i < 900; i++) {
                lines.add("{\"op\":\"suspend\",\"scope\":\"c" + i + "\",\"key\":\"s\"}");
            }
            assertThat(changes(
                            Installation.read(file(door.socketAddress())).distribution(), lines.toArray(String[]::new)))
                    .isFalse();
            assertThat(told())
                    .hasSize(900)
                    .allMatch(l -> l.path("why").asText().equals("1 of 1 holders did not answer"));
        }
    }

    /** As where the list of machines differs between files. */
    @Test
    void whatADoorSaysIsPassedOn() throws Exception {
        try (var door = new Peer()) {
            door.always(
                    Peer.answer("400 Bad Request", "{\"error\":\"this is machine 2, not 0\"}", "Connection: close"));
            assertThat(changes(
                            Installation.read(file(door.socketAddress())).distribution(),
                            "{\"op\":\"suspend\",\"scope\":\"a\",\"key\":\"s\"}"))
                    .isFalse();
            assertThat(told().get(0).path("why").asText()).isEqualTo("HTTP status 400, this is machine 2, not 0");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "--installation",
                "--scope a --create",
                "--installation F",
                "--installation F --scope a",
                "--installation F --create",
                "--installation F --stdin --create",
                "--installation F --stdin --scope a",
                "--installation F --scope a --create --suspend s",
                "--installation F --scope a --set 7 k",
                "--installation F --scope a --set x k v",
                "--installation F --scope a --set 256 k v",
                "--installation F --scope a --base -1 --create",
                "--installation F --scope aaaaaaaaaaaaaaaaaaaaaaaaa --create",
                "--installation F --scope a --stop",
                "--installation nowhere.toml --scope a --create",
                "--installation O --scope a --create"
            })
    void aBadCommandLineOrFileIsTwo(String words) throws Exception {
        String good = file(ReservedAddress.next()).toString();
        String other = Files.writeString(
                        folder.resolve("other.toml"),
                        InstallationText.pool("p", new InetSocketAddress(1))
                                + InstallationText.listener("l", new InetSocketAddress(2), "p"))
                .toString();
        String[] args = words.isEmpty()
                ? new String[0]
                : words.replace(" F", " " + good).replace(" O", " " + other).split(" ");
        assertThat(ChangeCommand.change(args)).isEqualTo(2);
        assertThat(ChangeCommand.status("--installation", good, "--create")).isEqualTo(2);
        assertThat(ChangeCommand.status("--installation", other)).isEqualTo(2);
    }
}
