package grebehoist.sim;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The wire: round trips, several instances, and plain messages about malformed input. */
class HostTest {
    private static final String SETUP =
            "balancers=3 rank=2 bounds.cancel=true bounds.may_duplicate=false bounds.most_tries=4 "
                    + "bounds.probes=false bounds.max_retry_after_us=2000000 registry_mode=on_request locality=skoyen "
                    + "quantum_us=4000 invariants.cold_from=0.4 invariants.cold_us=8100000 invariants.fall_multiple=4.0 "
                    + "invariants.fall_us=1000000 invariants.full_unproven=true invariants.must_ask_in_us=10000000 over_share_worth=0.05 "
                    + "profiles.count=1 profiles.0.name=pay profiles.0.aim_us=400000 profiles.0.deadline_us=2000000 "
                    + "profiles.0.value=10.0 profiles.0.late_worth=0.0 profiles.0.effect=deduplicated "
                    + "profiles.0.key_scope=zone profiles.0.window_us=1200000 projects.count=1 projects.0.name=vest "
                    + "projects.0.allowance_per_s=277.0 extra.warm_keys=true some.new.setting=x";
    private static final String UP = "up who=3 prng=5192 " + SETUP + "\n";
    private static final String LIST = "update who=3 form=stale_copy revision=41 nodes_list=1\n"
            + "entry stage_state=IN group=2 machine=std-1 zone=ulven last_start_us=7 capacity_hint=1.5 "
            + "backend=10.1.1.1:80 new_key=1\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final List<Balancer.Settings> settings = new ArrayList<>();
    private final List<Balancer.Event> events = new ArrayList<>();
    private final List<Balancer.Action> actions = new ArrayList<>();

    private int run(String input) throws IOException {
        return new Host(s -> {
                    settings.add(s);
                    return (now, event, sink) -> {
                        events.add(event);
                        if (event instanceof Balancer.TimerFired t && t.token().equals("boom")) {
                            throw new IllegalStateException("out\nof order");
                        }
                        actions.forEach(sink);
                    };
                })
                .run(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private String written() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String complaint() {
        return errors.toString(StandardCharsets.UTF_8).strip();
    }

    private static String batch(String... lines) {
        return "batch wall_us=100\n" + String.join("", lines) + "commit\n";
    }

    @Test
    void anEmptyBatchIsAnsweredAndTheEndIsClean() throws IOException {
        assertThat(run(batch())).isZero();
        assertThat(written()).isEqualTo("ok\n");
    }

    @Test
    void readsSettings() throws IOException {
        assertThat(run(batch(UP))).isZero();
        assertThat(settings)
                .containsExactly(new Balancer.Settings(
                        3,
                        2,
                        "skoyen",
                        4000,
                        List.of(new Balancer.RequestClass(
                                "pay", 400000, 2000000, 10, 0, Balancer.Effect.KEYED, Balancer.Scope.ZONE, 1200000)),
                        List.of(new Balancer.Tenant("vest", 277)),
                        0.05,
                        true,
                        new Balancer.Limits(true, false, false, true, 4, 2000000),
                        new Balancer.Rules(0.4, 8100000, 4, 1000000, 10000000, true),
                        5192));
    }

    @Test
    void readsEveryEvent() throws IOException {
        assertThat(run(batch(
                        UP,
                        LIST,
                        "incoming who=3 op_id=t/1 kind=pay user_group=vest path_key=user:k patience_left_us=240000 repeat=1\n",
                        "completed who=3 op_id=t/1 last=0 cost_time_us=18500 how=shed backend=10.1.1.1:80 go=0 health_info=rif:2\n",
                        "flowing who=3 op_id=t/1 cost_time_us=9 go=1 backend=10.1.1.1:80\n",
                        "hangup who=3 op_id=t/1\n",
                        "probed who=3 cost_time_us=14 how=delivered backend=10.1.1.1:80\n",
                        "deadline_hit who=3 ctx=x\n",
                        "inbox who=3 author=2 content=6869\n")))
                .isZero();
        assertThat(events)
                .containsExactly(
                        new Balancer.Members(
                                Balancer.ListKind.CACHED,
                                List.of(new Balancer.Backend(
                                        "10.1.1.1:80", Balancer.State.READY, "std-1", "ulven", 2, 7, 1.5))),
                        new Balancer.Arrival("t/1", "pay", "vest", "user:k", 240000, true),
                        new Balancer.AttemptEnded("t/1", 0, "10.1.1.1:80", Balancer.Outcome.FULL, 18500, false),
                        new Balancer.StreamStarted("t/1", 1),
                        new Balancer.ClientGone("t/1"),
                        new Balancer.ProbeEnded("10.1.1.1:80", Balancer.Outcome.OK, 14),
                        new Balancer.TimerFired("x"));
    }

    @Test
    void writesEveryAction() throws IOException {
        actions.addAll(List.of(
                new Balancer.Send("t/1", "b:1", 80),
                new Balancer.SetTimer(90, "q"),
                new Balancer.Refuse("t/1", 0),
                new Balancer.Refuse("t/2", 5),
                new Balancer.Fail("t/3"),
                new Balancer.Cancel("t/1", 2),
                new Balancer.Probe("b:1"),
                new Balancer.Watch(true),
                new Balancer.Fetch(),
                new Balancer.Release("b:1"),
                new Balancer.Log("two\nlines")));
        assertThat(run(batch(UP, "deadline_hit who=3 ctx=x\n"))).isZero();
        assertThat(written()).isEqualTo("""
                relay who=3 op_id=t/1 backend=b:1 max_wait_us=80
                arm who=3 fire_at_us=90 ctx=q
                not_now who=3 op_id=t/1
                not_now who=3 op_id=t/2 not_before_for_us=5
                finish_error who=3 op_id=t/3
                retract who=3 op_id=t/1 go=2
                sound_out who=3 backend=b:1
                observe who=3 enable=1
                pull who=3
                release who=3 backend=b:1
                print who=3 message=two lines
                ok
                """);
    }

    @Test
    void anInstanceStartsAfreshAfterADetachInTheSameBatch() throws IOException {
        assertThat(run(batch(UP) + batch("detach who=3\n", UP, "hangup who=3 op_id=t/1\n")))
                .isZero();
        assertThat(settings).hasSize(2);
        assertThat(events).hasSize(1);
    }

    @Test
    void aFailureOfTheModulePanicsThatInstanceAndSaysWhere() throws IOException {
        assertThat(run(batch(UP, "deadline_hit who=3 ctx=boom\n"))).isZero();
        assertThat(written())
                .startsWith("panic who=3 message=java.lang.IllegalStateException: out of order at grebehoist.sim")
                .endsWith("\nok\n")
                .contains("HostTest.java:");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hangup who=3| hangup: missing field 'op_id'",
                "hangup op_id=1| hangup: missing field 'who'",
                "hangup who=x op_id=1| hangup: bad number 'x' in 'who'",
                "hangup who=4 op_id=1| 'hangup' for instance 4, which is not up",
                "wave who=3| unknown event 'wave'",
                "hangup who=3 op_id| malformed field 'op_id'",
                "completed who=3 op_id=1 go=0 backend=b cost_time_us=1 how=odd| completed: unknown value 'odd' in 'how'",
                "completed who=3 op_id=1 go=0 backend=b cost_time_us=1 how=shed last=2| completed: bad bool '2' in 'last'",
                "update who=3 form=whole nodes_list=1| expected 'entry', found 'commit'",
                "batch wall_us=2| batch: missing field 'who'"
            })
    void saysWhatIsMalformedAndWhere(String line, String message) throws IOException {
        assertThat(run(batch(UP, line + "\n"))).isEqualTo(1);
        assertThat(complaint()).matches("line [34]: .*").endsWith(message.strip());
        assertThat(written()).isEmpty();
    }

    @Test
    void refusesAnythingOutsideABatch() throws IOException {
        assertThat(run("hangup who=3\n")).isEqualTo(1);
        assertThat(complaint()).isEqualTo("line 1: expected 'batch', found 'hangup'");
    }

    @Test
    void refusesInputCutInsideABatch() throws IOException {
        assertThat(run("batch wall_us=1\n" + UP)).isEqualTo(1);
        assertThat(complaint()).isEqualTo("line 3: input ends inside a batch");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "balancers",
                "rank",
                "bounds.cancel",
                "bounds.most_tries",
                "registry_mode",
                "locality",
                "quantum_us",
                "invariants.cold_from",
                "invariants.fall_us",
                "invariants.must_ask_in_us",
                "over_share_worth",
                "profiles.count",
                "profiles.0.aim_us",
                "profiles.0.effect",
                "profiles.0.window_us",
                "projects.0.allowance_per_s"
            })
    void namesAMissingSetting(String setting) throws IOException {
        String without = UP.replaceAll(" " + setting.replace(".", "\\.") + "=\\S*", "");
        assertThat(without).isNotEqualTo(UP);
        assertThat(run(batch(without))).isEqualTo(1);
        assertThat(complaint()).isEqualTo("line 2: up: missing setting '" + setting + "'");
    }

    @ParameterizedTest
    @CsvSource({
        "balancers=3,balancers=0,invalid setting: balancers",
        "profiles.0.aim_us=400000,profiles.0.aim_us=-1,invalid setting: aim of class pay",
        "bounds.cancel=true,bounds.cancel=maybe,unknown value 'maybe' in setting 'bounds.cancel'",
        "quantum_us=4000,quantum_us=4.5,bad number '4.5' in setting 'quantum_us'"
    })
    void namesASettingThatCannotBe(String good, String bad, String message) throws IOException {
        assertThat(run(batch(UP.replace(good, bad)))).isEqualTo(1);
        assertThat(complaint()).isEqualTo("line 2: up: " + message);
    }
}
