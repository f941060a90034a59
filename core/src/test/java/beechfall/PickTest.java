package beechfall;

import static beechfall.Proxy.MS;
import static beechfall.Proxy.READ;
import static beechfall.Proxy.S;
import static beechfall.Proxy.VOTE;
import static beechfall.Proxy.backend;
import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Backend;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The earliest-deadline order and its weights. */
class PickTest {
    private final Proxy proxy = new Proxy();

    @Test
    void worksThePapersTwoEndpointExample() {
        proxy.list(
                new Backend("d1", State.READY, "one", "a", 1, 0, 1),
                new Backend("d2", State.READY, "two", "a", 1, 0, 2));
        var order = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            String id = proxy.arrive(READ);
            order.add(proxy.lastSend(id).backend());
            proxy.end(id, Outcome.OK, MS);
        }
        // Deadlines 1/1 and 1/2: d2; then 1/1 and 2/2, a tie that the first listed takes; then 2/1 and 2/2: d2.
        assertThat(order).containsExactly("d2", "d1", "d2");
    }

    @Test
    void fasterKindsGetMoreInProportionToTheirSpeed() {
        proxy.list(backend("fast", "f", "a", 1), backend("slow", "s", "a", 1));
        for (int i = 0; i < 200; i++) {
            serveAtSpeed();
        }
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            turns.merge(serveAtSpeed(), 1, Integer::sum);
        }
        assertThat(turns.get("fast") / (double) turns.get("slow")).isBetween(1.8, 2.2);
    }

    /** A oneway call is over when it is written, at once at each backend alike: that says nothing of their speed. */
    @Test
    void whatNobodyAnswersTeachesNothingOfSpeed() {
        proxy.list(backend("fast", "f", "a", 1), backend("slow", "s", "a", 1));
        for (int i = 0; i < 200; i++) {
            serveAtSpeed();
        }
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = proxy.arrive(READ);
            proxy.now += MS;
            proxy.end(id, Outcome.OK, Balancer.UNTIMED);
            turns.merge(proxy.lastSend(id).backend(), 1, Integer::sum);
        }
        assertThat(turns.get("fast") / (double) turns.get("slow")).isBetween(1.8, 2.2);
    }

    private String serveAtSpeed() {
        String id = proxy.arrive(READ);
        long latency = proxy.lastSend(id).backend().equals("fast") ? 10 * MS : 20 * MS;
        proxy.now += latency;
        proxy.end(id, Outcome.OK, latency);
        return proxy.lastSend(id).backend();
    }

    @Test
    void equalBackendsTakeTurns() {
        proxy.list(backend("a"), backend("b"), backend("c"));
        var order = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            order.add(proxy.serve(READ, MS));
        }
        assertThat(order.subList(0, 3)).containsExactlyInAnyOrder("a", "b", "c").isEqualTo(order.subList(3, 6));
    }

    @Test
    void aNewBackendDoesNotGetTheTurnsItMissed() {
        proxy.list(backend("a"), backend("b"));
        for (int i = 0; i < 20; i++) {
            proxy.serve(READ, MS);
        }
        proxy.list(backend("a"), backend("b"), backend("c"));
        var next = List.of(proxy.serve(READ, MS), proxy.serve(READ, MS), proxy.serve(READ, MS));
        assertThat(next).containsExactlyInAnyOrder("a", "b", "c");
    }

    @Test
    void aClassThatFailsAtABackendGoesElsewhereAndTheOthersStay() {
        proxy.list(backend("a"), backend("b"), backend("c"));
        Map<String, Integer> reads = new HashMap<>();
        int failed = 0;
        for (int i = 0; i < 300; i++) {
            reads.merge(proxy.serve(READ, 10 * MS), 1, Integer::sum);
            String id = proxy.arrive(Proxy.VOTE);
            proxy.now += 10 * MS;
            boolean ill = proxy.lastSend(id).backend().equals("a");
            failed += ill ? 1 : 0;
            proxy.end(id, ill ? Outcome.ERROR : Outcome.OK, 10 * MS);
            if (ill) {
                proxy.end(id, Outcome.OK, 10 * MS);
            }
        }
        // Six seconds: put off for 1.2, 2.4 and 4.8 of them.
        assertThat(failed).isBetween(2, 3);
        assertThat(reads.get("a")).isGreaterThan(60);
    }

    /** Where one answer in twenty is spoilt on its way, whoever gave it, that puts nobody off: the rest has its load. */
    @Test
    void errorsThatAreCommonEverywherePutNobodyOff() {
        proxy.list(backend("a"), backend("b"), backend("c"));
        Map<String, Integer> last = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = proxy.arrive(READ);
            last.put(proxy.lastSend(id).backend(), i);
            proxy.now += 10 * MS;
            if (i % 20 == 19) {
                proxy.end(id, Outcome.ERROR, 10 * MS);
            }
            proxy.end(id, Outcome.OK, 10 * MS);
            if (i > 300) {
                int now = i;
                assertThat(last)
                        .hasSize(3)
                        .allSatisfy((backend, sent) -> assertThat(now - sent).isLessThan(40));
            }
        }
    }

    @Test
    void aClassThatFailsEverywhereIsSentAllTheSame() {
        proxy.list(backend("a"), backend("b"));
        for (int i = 0; i < 20; i++) {
            String id = proxy.arrive(Proxy.VOTE);
            assertThat(proxy.sends(id)).isEqualTo(1);
            proxy.now += 10 * MS;
            proxy.end(id, Outcome.ERROR, 10 * MS);
        }
    }

    @Test
    void aBackendSlowerThanItsKindLosesWeight() {
        proxy.list(backend("a"), backend("b"), backend("lame"));
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = proxy.arrive(READ);
            String to = proxy.lastSend(id).backend();
            turns.merge(to, 1, Integer::sum);
            long latency = to.equals("lame") ? 200 * MS : 20 * MS;
            proxy.now += latency;
            proxy.end(id, Outcome.OK, latency);
        }
        assertThat(turns.get("lame")).isLessThan(turns.get("a") / 2);
    }

    @Test
    void aBackendThatDoesNotAnswerHoldsNoMoreThanItsShare() {
        proxy.list(backend("a"), backend("hung"));
        int stuck = 0;
        for (int i = 0; i < 50; i++) {
            String id = proxy.arrive(READ);
            if (proxy.lastSend(id).backend().equals("hung")) {
                stuck++;
            } else {
                proxy.now += 10 * MS;
                proxy.end(id, Outcome.OK, 10 * MS);
            }
        }
        assertThat(stuck).isEqualTo(1);
    }

    @Test
    void aKeyGoesWhereAllProxiesKeepItWarmWhileThatBackendHasRoom() {
        var backends = new Backend[] {backend("a"), backend("b"), backend("c"), backend("d")};
        var homes = new HashMap<String, String>();
        for (long seed = 1; seed <= 3; seed++) {
            var p = new Proxy(new Balancer.Settings(
                    3, 0, "a", MS, List.of(READ), List.of(), 1, true, Proxy.LIMITS, Proxy.RULES, seed));
            p.list(backends);
            for (int i = 0; i < 40; i++) {
                String key = "key" + i;
                p.feed(new Balancer.Arrival("k" + i, "read", null, key, 2 * S, false));
                String to = p.lastSend("k" + i).backend();
                assertThat(homes.putIfAbsent(key, to)).isIn(null, to);
                if (i % 4 != 0) {
                    p.end("k" + i, Outcome.OK, MS);
                } else {
                    p.feed(new Balancer.Arrival("again" + i, "read", null, key, 2 * S, false));
                    assertThat(p.lastSend("again" + i).backend()).isNotEqualTo(to);
                    p.end("again" + i, Outcome.OK, MS);
                    p.end("k" + i, Outcome.OK, MS);
                }
            }
        }
        assertThat(homes.values()).contains("a", "b", "c", "d");
    }

    @Test
    void theOwnZoneComesFirstWhileItHasRoom() {
        proxy.list(backend("far", "std", "b", 2), backend("near", "std", "a", 1));
        int near = 0;
        for (int i = 0; i < 10; i++) {
            near += proxy.serve(READ, MS).equals("near") ? 1 : 0;
        }
        assertThat(near).as("four times the turns, not all").isEqualTo(8);
        proxy.arrive(READ);
        proxy.arrive(READ);
        String third = proxy.arrive(READ);
        String fourth = proxy.arrive(READ);
        assertThat(List.of(
                        proxy.lastSend(third).backend(), proxy.lastSend(fourth).backend()))
                .contains("far");
    }

    @Test
    void equalEventsGiveEqualActions() {
        var other = new Proxy();
        for (Proxy p : List.of(proxy, other)) {
            p.list(backend("a"), backend("b", "k", "b", 2), Proxy.started("c", p.now - S));
            for (int i = 0; i < 300; i++) {
                p.serve(i % 3 == 0 ? Proxy.PAY : READ, (i * 7919L % 40 + 1) * MS);
            }
        }
        assertThat(proxy.actions).isEqualTo(other.actions);
    }

    @Test
    void aBackendThatCannotBeReachedIsTriedEverMoreSeldom() {
        var p = new Proxy();
        p.list(backend("a"), backend("b"), backend("c"), backend("lost"));
        int tried = 0;
        for (int i = 0; i < 600; i++) {
            String id = p.arrive(READ);
            p.now += 10 * MS;
            if (p.lastSend(id).backend().equals("lost")) {
                tried++;
                p.end(id, Outcome.CONNECT_FAILED, 10 * MS);
            }
            p.end(id, Outcome.OK, 10 * MS);
        }
        // Six seconds: put off for 1.2, 2.4 and 4.8 of them.
        assertThat(tried).isBetween(2, 3);
    }

    @Test
    void ifNearlyNoneCanBeReachedAllAreTriedOn() {
        var p = new Proxy();
        p.list(backend("a"), backend("b"));
        for (int i = 0; i < 20; i++) {
            String id = p.arrive(VOTE);
            assertThat(p.sends(id)).isPositive();
            for (int attempt = 0; attempt < 4; attempt++) {
                p.end(id, Outcome.CONNECT_FAILED, 10 * MS);
            }
            p.now += 10 * MS;
        }
    }

    @Test
    void aBackendThatErrsAtTimesIsTriedOn() {
        var p = new Proxy();
        p.list(backend("a"), backend("b"), backend("c"), backend("errs"));
        int toErring = 0;
        for (int i = 0; i < 4000; i++) {
            String id = p.arrive(READ);
            p.now += 10 * MS;
            if (p.lastSend(id).backend().equals("errs") && toErring++ % 4 == 0) {
                p.end(id, Outcome.ERROR, 10 * MS);
            }
            p.end(id, Outcome.OK, 10 * MS);
        }
        // Put off for the longest time after every error, it would get 17; all the others take 980 or more.
        assertThat(toErring).isBetween(30, 400);
    }
}
