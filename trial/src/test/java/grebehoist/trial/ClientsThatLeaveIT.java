package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import grebehoist.testkit.HttpWire;
import grebehoist.testkit.ReservedAddress;
import grebehoist.testkit.Rig;
import grebehoist.testkit.StandInClients.Manner;
import grebehoist.testkit.StandInClients.Order;
import grebehoist.testkit.Witness;
import grebehoist.testkit.Witness.Count;
import grebehoist.trial.FaultLibrary.Injection;
import grebehoist.trial.FaultLibrary.SystemCall;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process of the built jar that is slow in many short steps, none long enough to be noticed: what has come waits in the kernel, and what
 * came behind it, while the event loop runs on time. Incident 56.
 */
@Timeout(120)
class ClientsThatLeaveIT {
    private static final Path JAR =
            Path.of("../daemon/target/grebehoist.jar").toAbsolutePath().normalize();
    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final int CLIENTS = 100;
    private static final int BURSTS = 3;
    private static final long LEAVES_US = 150 * MS;
    private static final long WORK_US = 2 * MS;

    @TempDir
    Path files;

    private Rig rig;
    private Member proxy;
    private Injection faults;
    private int asked;

    @BeforeEach
    void begin() throws Exception {
        rig = new Rig(new HttpWire(), settings(), new double[] {0.5, 0.3, 0.2}, 15 * S, 56);
        rig.machines(5);
        InetSocketAddress listen = ReservedAddress.next();
        var config = Member.config(
                "n0",
                listen,
                rig.discoveryOfNextProxy(),
                settings(),
                rig.on(rig.discovery()::known),
                listen,
                List.of(listen));
        proxy = new Member("n0", JAR, files, listen, config, null, line -> {});
        proxy.environment("TMPDIR", files.toString());
        rig.proxyAt(listen);
    }

    @AfterEach
    void end() throws Exception {
        proxy.close();
        rig.close();
    }

    private static Balancer.Settings settings() {
        return new Balancer.Settings(
                1,
                0,
                "u",
                4 * MS,
                List.of(
                        new RequestClass("read", 600 * MS, 2 * S, 1, 0, Effect.SAFE, Scope.ALL, 0),
                        new RequestClass("pay", 600 * MS, 2 * S, 3, 0, Effect.KEYED, Scope.ALL, 5 * S),
                        new RequestClass("vote", 600 * MS, 2 * S, 3, 0, Effect.UNSAFE, Scope.ALL, 0)),
                List.of(),
                1,
                false,
                new Balancer.Limits(true, false, false, true, 4, 2 * S),
                new Balancer.Rules(0.4, 8 * S, 4, S, 10 * S, false),
                1);
    }

    /** Starts it, and lets it serve for a while before calls are held up. */
    private void start(String schedule) throws Exception {
        faults = FaultLibrary.build(files)
                .inject(proxy, schedule, 56, files.resolve("counts"))
                .pause();
        proxy.start();
        assertThat(proxy.awaitReady(20_000)).as("ready: %s", proxy.log()).isTrue();
        rig.load(1, 60 * S);
        rig.awaitServed(100);
        rig.run(rig.traffic()::stop);
        rig.await("all is answered", () -> rig.clients().waiting() == 0);
        faults.resume();
    }

    /** All at once; those that find no connection of their own open one. */
    private void burst(Manner manner, long patienceUs) {
        rig.run(() -> {
            for (int i = 0; i < CLIENTS; i++) {
                RequestClass type = settings().classes().get(i % 3);
                rig.clients()
                        .ask(0, new Order("b" + asked++, type, null, WORK_US, patienceUs, manner, LEAVES_US, 0, false));
            }
        });
        rig.await("the burst is over", () -> rig.clients().waiting() == 0);
    }

    private void assertRulesKept() {
        rig.await(
                "what waited has been taken",
                () -> rig.fleet().staying().stream().allMatch(m -> m.backend().held() == 0));
        Witness witness = rig.finish();
        String verdict = rig.on(witness::verdict);
        System.out.println(verdict + ", held up: " + faults.counts());
        assertThat(rig.on(witness::violations))
                .as("%s\n%s", verdict, proxy.log())
                .isEmpty();
    }

    /** Every accept(2) takes 8 ms, so the last of a burst is accepted long after it has left. */
    @Test
    void aClientThatLeftInTheAcceptQueueIsNotSentOn() throws Exception {
        start("call=accept,action=delay,pause=8");
        for (int i = 0; i < BURSTS; i++) {
            burst(Manner.HANGS_UP, S);
        }
        rig.await("the queue has been taken", () -> faults.count(SystemCall.ACCEPT) >= BURSTS * CLIENTS / 2);
        assertThat(rig.on(() -> rig.witness().count(Count.LEFT))).isPositive();
        assertRulesKept();
    }

    /** As above, with clients that stay: what a backend is told to be left counts from when they asked. */
    @Test
    void theDeadlineThatIsToldCountsTheTimeInTheAcceptQueue() throws Exception {
        start("call=accept,action=delay,pause=8");
        for (int i = 0; i < BURSTS; i++) {
            burst(Manner.PLAIN, 1_200 * MS);
        }
        assertThat(faults.count(SystemCall.ACCEPT)).isPositive();
        assertRulesKept();
    }
}
