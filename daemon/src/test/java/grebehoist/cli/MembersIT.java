package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.testkit.DatagramPorts;
import grebehoist.testkit.Rig;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Whole processes that know of each other by an installation file: the door, an end in good order, a second process in one place. */
@Timeout(120)
class MembersIT {
    private static final String OLD = "00112233445566778899aabbccddeeff";
    private static final String NEW = "ffeeddccbbaa99887766554433221100";

    @TempDir
    private Path folder;

    private static int[] ports() throws IOException {
        try (var ports = new DatagramPorts(2)) {
            return Arrays.stream(ports.addresses())
                    .mapToInt(InetSocketAddress::getPort)
                    .toArray();
        }
    }

    private String file(String name, int number, int[] ports, String... keys) throws IOException {
        var nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        var anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        var text = new StringBuilder(InstallationText.pool("more", nowhere)
                + InstallationText.listener("in", anyPort, "more")
                + """
                [process]
                name = "%s"
                [membership]
                listen = "127.0.0.1:%d"
                peers = ["127.0.0.1:%d", "127.0.0.1:%d"]
                zone = "ulven"
                """.formatted(name, ports[number], ports[0], ports[1]));
        for (int i = 0; i < keys.length; i++) {
            text.append("[[membership.key]]\nid = ")
                    .append(keys[i].equals(OLD) ? 1 : 2)
                    .append("\nsecret = \"")
                    .append(keys[i])
                    .append("\"\n");
        }
        return Files.writeString(folder.resolve(name + ".toml"), text).toString();
    }

    private static void begin(Rig rig, ProxyProcess proxy, String file) throws Exception {
        proxy.configure(rig.discoveryOfNextProxy(), rig.on(rig.discovery()::known))
                .start("--installation", file)
                .awaitReady();
        rig.proxyAt(proxy.address());
    }

    private static JsonNode member(ProxyProcess at, int number) {
        try {
            return at.members().path("members").path(number);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitState(Rig rig, ProxyProcess at, int number, String state, long leastIncarnation) {
        rig.await(
                number + " is " + state,
                () -> member(at, number).path("state").asText().equals(state)
                        && member(at, number).path("incarnation").asLong() >= leastIncarnation);
    }

    @Test
    void oneLeavesAndAnotherTakesItsPlace() throws Exception {
        int[] ports = ports();
        try (var rig = ProcessIT.rig();
                var first = new ProxyProcess("p0", ProcessIT.settings(0)).withDoor();
                var second = new ProxyProcess("p1", ProcessIT.settings(1)).withDoor();
                var twin = new ProxyProcess("p2", ProcessIT.settings(1)).withDoor()) {
            begin(rig, first, file("m0", 0, ports, OLD));
            begin(rig, second, file("m1", 1, ports, OLD));
            awaitState(rig, first, 1, "alive", 1);
            awaitState(rig, second, 0, "alive", 1);
            assertThat(member(first, 1).path("name").asText()).isEqualTo("m1");
            assertThat(first.members().path("shared_by").asInt()).isEqualTo(2);
            assertThat(first.members().path("present").asBoolean()).isTrue();
            begin(rig, twin, file("m1-twin", 1, ports, OLD));
            rig.await("it says that its place is taken", () -> {
                try {
                    return twin.log().contains("another process as the same member?");
                } catch (IOException e) {
                    return false;
                }
            });
            second.signal("TERM");
            assertThat(second.awaitEnd()).isZero();
            // It has said that it ends; the other, which waits for its address, is there at once, as a later life of
            // the same member.
            awaitState(rig, first, 1, "alive", 2);
            rig.await(
                    "its name is known",
                    () -> member(first, 1).path("name").asText().equals("m1-twin"));
            assertThat(first.log()).contains("\"state\":\"left\"");
        }
    }

    /**
     * Issue 73, review/10: what is shared with others is given up in time, not at the end of a long answer. The address for other members is free for
     * the next process of the same member, and the others hear that this one has left, while its clients still read.
     */
    @Test
    void aLongAnswerDoesNotKeepTheMembersPlace() throws Exception {
        int[] ports = ports();
        var answers = new EndlessAnswers();
        try (var rig = ProcessIT.rig();
                var discovery = new Peer();
                var backends = new PeerFleet(4, answers);
                var first = new ProxyProcess("p0", ProcessIT.settings(0)).withDoor();
                var second = new ProxyProcess("p1", ProcessIT.settings(1)).withDoor();
                var twin = new ProxyProcess("p2", ProcessIT.settings(1)).withDoor()) {
            begin(rig, first, file("m0", 0, ports, OLD));
            second.configure(discovery.socketAddress(), backends.list())
                    .start("--installation", file("m1", 1, ports, OLD))
                    .awaitReady();
            awaitState(rig, first, 1, "alive", 1);
            try (var clients = new LongReaders(second.address(), 4)) {
                second.signal("TERM");
                begin(rig, twin, file("m1-twin", 1, ports, OLD));
                awaitState(rig, first, 1, "alive", 2);
                assertThat(clients.reading()).as("answers are on their way").isTrue();
                assertThat(second.alive()).isTrue();
                assertThat(second.call("GET", "/v1/readyz"))
                        .as("nobody is at its door")
                        .isZero();
                assertThat(first.log()).contains("\"state\":\"left\"");
                answers.finish();
                assertThat(clients.allWhole()).as("%s", second.log()).isTrue();
            }
            assertThat(second.awaitEnd()).isZero();
        }
    }

    /** A member with another key is heard by nobody; one whose ring has both is, whichever seals. */
    @Test
    void aKeyThatOthersDoNotHaveIsRefusedAndCounted() throws Exception {
        int[] ports = ports();
        try (var rig = ProcessIT.rig();
                var first = new ProxyProcess("p0", ProcessIT.settings(0)).withDoor();
                var stranger = new ProxyProcess("p1", ProcessIT.settings(1)).withDoor();
                var second = new ProxyProcess("p2", ProcessIT.settings(1)).withDoor()) {
            begin(rig, first, file("m0", 0, ports, NEW, OLD));
            begin(rig, stranger, file("m1", 1, ports, NEW.replace("ff", "00")));
            rig.await("strange seals are counted", () -> {
                try {
                    return first.members().path("refused").path("seal").asLong() > 2;
                } catch (IOException e) {
                    return false;
                }
            });
            assertThat(member(first, 1).path("state").asText()).isEqualTo("unknown");
            stranger.signal("KILL");
            stranger.awaitEnd();
            begin(rig, second, file("m2", 1, ports, OLD, NEW));
            awaitState(rig, first, 1, "alive", 1);
        }
    }
}
