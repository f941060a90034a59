package grebehoist.engine;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Backend;
import beechfall.Balancer.Effect;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import beechfall.Balancer.State;
import grebehoist.engine.RuleGuard.Earlier;
import grebehoist.engine.RuleGuard.Rule;
import grebehoist.engine.RuleGuard.Send;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each rule refuses and counts what breaks it, and nothing else. */
class RuleGuardTest {
    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final RequestClass READ = new RequestClass("read", 600 * MS, 2 * S, 1, 0, Effect.SAFE, Scope.ALL, 0);
    private static final RequestClass KEYED =
            new RequestClass("keyed", 600 * MS, 2 * S, 1, 0, Effect.KEYED, Scope.ZONE, 500 * MS);
    private static final RequestClass UNSAFE =
            new RequestClass("unsafe", 600 * MS, 2 * S, 1, 0, Effect.UNSAFE, Scope.ALL, 0);

    private final List<Rule> violations = new ArrayList<>();
    private final List<LogEvent> transitions = new ArrayList<>();
    private final RuleGuard guard = new RuleGuard(
            new Log() {
                @Override
                public void line(String text) {}

                @Override
                public void failure(String what, Throwable cause) {}

                @Override
                public void event(LogEvent event) {
                    transitions.add(event);
                }

                @Override
                public void violation(RuleGuard.Violation violation) {
                    violations.add(violation.rule());
                }
            },
            S);

    /** A send that breaks nothing, to be changed in one respect. */
    private static final class Facts {
        private String endpoint = "a1";
        private RequestClass type = READ;
        private boolean open = true;
        private ClientState client = ClientState.PRESENT;
        private long leftUs = S;
        private long toldLeftUs = S;
        private int number;
        private int othersOut;
        private List<Earlier> mayHaveRun = List.of();
        private long readUs;
        private double allowance = Double.POSITIVE_INFINITY;

        Send send() {
            return new Send(
                    "r1",
                    number,
                    endpoint,
                    type,
                    open,
                    client,
                    leftUs,
                    toldLeftUs,
                    othersOut,
                    2,
                    false,
                    mayHaveRun,
                    readUs,
                    allowance);
        }
    }

    private static Listed listed(String id, State state) {
        return new Listed(new Backend(id, state, "m", id.substring(0, 1), 0, 0, 1), "127.0.0.1:1");
    }

    private void notified(ListKind kind, long atUs, Listed... listed) {
        guard.notified(kind, List.of(listed), atUs);
    }

    @Test
    void nothingGoesToAnEndpointThatDrainsAndItCountsPastTheGrace() {
        notified(ListKind.FULL, 0, listed("a1", State.READY), listed("a2", State.READY));
        assertThat(guard.begins(new Facts().send(), 0)).isTrue();
        notified(ListKind.DELTA, S, listed("a1", State.DRAINING));
        assertThat(guard.begins(new Facts().send(), S + RuleGuard.DRAIN_GRACE_US))
                .isFalse();
        assertThat(violations).isEmpty();
        // What is said again is not said anew.
        notified(ListKind.DELTA, S + 100 * MS, listed("a1", State.DRAINING));
        assertThat(guard.begins(new Facts().send(), S + RuleGuard.DRAIN_GRACE_US + 1))
                .isFalse();
        assertThat(violations).containsExactly(Rule.DRAIN);
        notified(ListKind.DELTA, 2 * S, listed("a1", State.READY));
        assertThat(guard.begins(new Facts().send(), 2 * S)).isTrue();
        assertThat(transitions).extracting(LogEvent::to).containsExactly("DRAINING", "READY");
    }

    @Test
    void whatAWholeListLeavesOutIsGone() {
        notified(ListKind.FULL, 0, listed("a1", State.READY), listed("a2", State.READY));
        notified(ListKind.FAILED, S);
        assertThat(guard.begins(new Facts().send(), 2 * S)).isTrue();
        notified(ListKind.FULL, 2 * S, listed("a2", State.READY));
        assertThat(guard.begins(new Facts().send(), 3 * S)).isFalse();
        assertThat(violations).containsExactly(Rule.DRAIN);
    }

    @Test
    void nothingIsSentForARequestThatIsOver() {
        var facts = new Facts();
        facts.open = false;
        assertThat(guard.maySend(facts.send(), 0)).isFalse();
        assertThat(violations).containsExactly(Rule.CLIENT_GONE);
    }

    @Test
    void aClientThatIsFoundGoneRightBeforeTheFirstByteIsNoFault() {
        notified(ListKind.FULL, 0, listed("a1", State.READY));
        var facts = new Facts();
        facts.client = ClientState.GONE;
        assertThat(guard.begins(facts.send(), 0)).isFalse();
        facts.client = ClientState.UNKNOWN;
        assertThat(guard.begins(facts.send(), 0)).isFalse();
        assertThat(violations).isEmpty();
    }

    @Test
    void theDeadlineThatIsToldIsTheClients() {
        var facts = new Facts();
        facts.toldLeftUs = facts.leftUs + RuleGuard.DEADLINE_SLACK_US;
        assertThat(guard.maySend(facts.send(), 0)).isTrue();
        facts.toldLeftUs++;
        assertThat(guard.maySend(facts.send(), 0)).isFalse();
        facts.toldLeftUs = 0;
        facts.leftUs = 0;
        assertThat(guard.maySend(facts.send(), 0)).isFalse();
        assertThat(violations).containsExactly(Rule.DEADLINE, Rule.DEADLINE);
        assertThat(guard.begins(facts.send(), 0))
                .as("its connection came up too late")
                .isFalse();
        assertThat(violations).hasSize(2);
    }

    @Test
    void oneAttemptAtATimeAndSoManyInAll() {
        var facts = new Facts();
        facts.number = 1;
        assertThat(guard.maySend(facts.send(), 0)).isTrue();
        facts.othersOut = 1;
        assertThat(guard.maySend(facts.send(), 0)).isFalse();
        facts.othersOut = 0;
        facts.number = 2;
        assertThat(guard.maySend(facts.send(), 0)).isFalse();
        assertThat(violations).containsExactly(Rule.ATTEMPTS, Rule.ATTEMPTS);
    }

    @Test
    void aRepeatGoesOnlyWhereItsClassLetsItRunAgain() {
        notified(ListKind.FULL, 0, listed("a1", State.READY), listed("a2", State.READY), listed("b1", State.READY));
        var facts = new Facts();
        facts.mayHaveRun = List.of(new Earlier("a2", 0));
        assertThat(guard.begins(facts.send(), 400 * MS)).isTrue();
        facts.type = UNSAFE;
        assertThat(guard.begins(facts.send(), 400 * MS)).isFalse();
        facts.type = KEYED;
        assertThat(guard.begins(facts.send(), 400 * MS)).isTrue();
        assertThat(violations).containsExactly(Rule.REPEAT);
        guard.maySend(facts.send(), 500 * MS);
        assertThat(violations).as("decided on past its window").containsExactly(Rule.REPEAT, Rule.REPEAT);
        assertThat(guard.begins(facts.send(), 500 * MS))
                .as("its connection came up too late")
                .isFalse();
        assertThat(violations).hasSize(2);
        facts.readUs = 100 * MS;
        assertThat(guard.begins(facts.send(), 399 * MS)).isTrue();
        assertThat(guard.begins(facts.send(), 400 * MS))
                .as("it may be read as its key has been forgotten")
                .isFalse();
        assertThat(violations).hasSize(2);
        facts.readUs = 0;
        facts.endpoint = "b1";
        assertThat(guard.begins(facts.send(), 400 * MS)).as("in another zone").isFalse();
        assertThat(violations).containsExactly(Rule.REPEAT, Rule.REPEAT, Rule.REPEAT);
    }

    @Test
    void anEndpointInSlowStartGetsNoMoreThanItsBudgetInAWindow() {
        notified(ListKind.FULL, 0, listed("a1", State.READY));
        var facts = new Facts();
        facts.allowance = 3.5;
        for (int i = 0; i < 3; i++) {
            assertThat(guard.begins(facts.send(), i * 100 * MS)).isTrue();
        }
        assertThat(guard.begins(facts.send(), S)).isFalse();
        assertThat(violations).containsExactly(Rule.SLOW_START);
        assertThat(guard.begins(facts.send(), S + 1))
                .as("the first has left the window")
                .isTrue();
        facts.allowance = 1.5;
        assertThat(guard.begins(facts.send(), S + 50 * MS))
                .as("what was sent was right then")
                .isFalse();
        facts.allowance = Double.POSITIVE_INFINITY;
        assertThat(guard.begins(facts.send(), S + 60 * MS)).isTrue();
    }

    @Test
    void aCloseWithoutAnAnswerAndAnEarlyStartAreCounted() {
        guard.closedUnanswered("r1", "its connection failed", 0);
        assertThat(guard.mayListen(false, false, 0)).isFalse();
        assertThat(guard.mayListen(true, true, 0)).isFalse();
        assertThat(guard.mayListen(true, false, 0)).isTrue();
        assertThat(violations).containsExactly(Rule.UNANSWERED_CLOSE, Rule.START, Rule.START);
    }
}
