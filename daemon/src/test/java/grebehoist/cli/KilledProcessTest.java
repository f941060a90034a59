package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.testkit.HttpWire;
import grebehoist.testkit.Rig;
import grebehoist.testkit.Witness;
import java.util.Set;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What clients of a rig make of answers that end in the middle: only those that a kill breaks are excused. */
@Timeout(60)
class KilledProcessTest {
    private static final long S = 1_000_000;
    private static final String BEGINNING = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfirst bytes";

    /** What a proxy does with the first request that it gets. */
    enum End {
        /** It ends the connection in the middle of the answer. */
        CUT_OFF(BEGINNING, false, true),
        /** Its process is killed in the middle of the answer. */
        KILLED_IN_AN_ANSWER(BEGINNING, true, false),
        /** Its process is killed before it has answered. */
        KILLED_WITHOUT_AN_ANSWER("", true, true);

        private final String given;
        private final boolean killed;
        private final boolean broken;

        End(String given, boolean killed, boolean broken) {
            this.given = given;
            this.killed = killed;
            this.broken = broken;
        }
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void onlyAnAnswerThatAKillBreaksIsExcused(End end) throws Exception {
        try (var rig = new Rig(new HttpWire(true), ProcessIT.settings(0), new double[] {1, 0, 0, 0}, 15 * S, 35);
                var proxy = new Peer()) {
            rig.machines(1);
            rig.discoveryOfNextProxy();
            rig.proxyAt(proxy.socketAddress());
            rig.load(0.2, 1 * S);
            Wire wire = proxy.accept();
            String id = wire.head().header("X-Request-ID");
            rig.avoid(0, true);
            wire.send(end.given);
            if (end.killed) {
                rig.killing(Set.of(wire.socket.getPort()));
            }
            wire.close();
            rig.await("its end is judged", () -> broken(rig.witness(), id) || excused(rig.witness()));
            assertThat(rig.on(() -> broken(rig.witness(), id))).isEqualTo(end.broken);
        }
    }

    private static boolean broken(Witness witness, String id) {
        return witness.violations().stream()
                .anyMatch(violation -> violation.subject().equals(id));
    }

    private static boolean excused(Witness witness) {
        return witness.count(Witness.Count.EXCUSED) > 0;
    }
}
