package beechfall;

import static beechfall.Proxy.BOOK;
import static beechfall.Proxy.MS;
import static beechfall.Proxy.NOTE;
import static beechfall.Proxy.PAY;
import static beechfall.Proxy.READ;
import static beechfall.Proxy.S;
import static beechfall.Proxy.VOTE;
import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Backend;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Settings;
import beechfall.Balancer.State;
import beechfall.Balancer.Tenant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The tree finds what a look at all would find, in the same state, whatever happens. */
class OrderTest {
    private static final List<RequestClass> CLASSES = List.of(READ, PAY, BOOK, NOTE, VOTE);

    /** Random lists, arrivals, outcomes, drains, restarts and pauses; each pick is held against the rule itself. */
    @ParameterizedTest
    @CsvSource({"1, 1", "1, 7", "2, 40", "5, 40", "40, 40", "60, 7", "414, 69", "300, 1", "50, 600"})
    void findsWhatTheRuleFinds(int balancers, int backends) {
        int picks = 0;
        int restless = 0;
        for (long seed = 1; seed <= 30; seed++) {
            var random = new SplittableRandom(seed * 31 + balancers * 7 + backends);
            var settings = new Settings(
                    balancers,
                    random.nextInt(balancers),
                    "a",
                    4 * MS,
                    CLASSES,
                    List.of(new Tenant("t", 1e6)),
                    0.05,
                    false,
                    Proxy.LIMITS,
                    Proxy.RULES,
                    seed);
            var proxy = new Proxy(settings);
            int[] count = new int[2];
            proxy.policy.oracle((found, rule) -> {
                count[0]++;
                count[1] += found == null || !found.calm(proxy.now) ? 1 : 0;
                assertThat(found == null ? null : found.id()).isEqualTo(rule == null ? null : rule.id());
            });
            play(proxy, random, backends, 1 + balancers / backends);
            picks += count[0];
            restless += count[1];
        }
        assertThat(picks).isGreaterThan(100);
        assertThat(restless).as("some found none, or one that is cold or busy").isPositive();
    }

    private static void play(Proxy proxy, SplittableRandom random, int backends, int slower) {
        Map<String, Backend> listed = new HashMap<>();
        int[] next = {0};
        for (int i = 0; i < backends; i++) {
            put(listed, proxy, random, next);
        }
        proxy.feed(new Members(ListKind.FULL, List.copyOf(listed.values())));
        Set<String> out = new HashSet<>();
        for (int step = 0; step < 1_500; step++) {
            proxy.now += (long) (random.nextDouble() * random.nextDouble() * 60 * MS * slower);
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> {
                    String id = proxy.arrive(
                            CLASSES.get(random.nextInt(CLASSES.size())), random.nextBoolean() ? "t" : null);
                    if (proxy.sends(id) > 0) {
                        out.add(id);
                    }
                }
                case 3, 4, 5 ->
                    out.stream()
                            .sorted()
                            .skip(random.nextInt(Math.max(1, out.size())))
                            .findFirst()
                            .ifPresent(id -> {
                                Outcome[] outcomes = {
                                    Outcome.OK,
                                    Outcome.OK,
                                    Outcome.OK,
                                    Outcome.OK,
                                    Outcome.ERROR,
                                    Outcome.TIMEOUT,
                                    Outcome.CONNECT_FAILED,
                                    Outcome.FULL
                                };
                                int before = proxy.sends(id);
                                proxy.end(id, outcomes[random.nextInt(outcomes.length)], (long)
                                        (5 * MS + random.nextDouble() * 400 * MS));
                                if (proxy.sends(id) == before) {
                                    out.remove(id);
                                }
                            });
                case 6 -> proxy.timer("held");
                default -> change(listed, proxy, random, next);
            }
        }
    }

    private static void put(Map<String, Backend> listed, Proxy proxy, SplittableRandom random, int[] next) {
        String id = "s" + next[0]++;
        long started = random.nextInt(3) > 0 ? 0 : proxy.now - random.nextLong(9 * S);
        listed.put(
                id,
                new Backend(
                        id,
                        State.READY,
                        "k" + random.nextInt(3),
                        "abc".substring(random.nextInt(3)).substring(0, 1),
                        random.nextInt(4),
                        started,
                        1));
    }

    private static void change(Map<String, Backend> listed, Proxy proxy, SplittableRandom random, int[] next) {
        List<Backend> news = new ArrayList<>();
        List<String> ids = listed.keySet().stream().sorted().toList();
        if (!ids.isEmpty() && random.nextBoolean()) {
            Backend b = listed.get(ids.get(random.nextInt(ids.size())));
            State state = State.values()[random.nextInt(State.values().length)];
            var told = new Backend(
                    b.id(), state, b.kind(), b.zone(), b.cell(), random.nextBoolean() ? b.startedAtUs() : proxy.now, 1);
            news.add(told);
            if (state == State.GONE) {
                listed.remove(b.id());
            } else {
                listed.put(b.id(), told);
            }
        } else {
            int before = next[0];
            put(listed, proxy, random, next);
            news.add(listed.get("s" + before));
        }
        boolean whole = random.nextInt(4) == 0;
        proxy.feed(new Members(whole ? ListKind.FULL : ListKind.DELTA, whole ? List.copyOf(listed.values()) : news));
    }

    /** The order alone, against a plain look: places of sound ones, and the earliest up to each place, wherever it begins. */
    @Test
    void theOrderAnswersAsAPlainLookWould() {
        for (int n : new int[] {1, 2, 3, 4, 5, 8, 9, 31, 64, 100, 600}) {
            var random = new SplittableRandom(n);
            var order = new Order();
            var servers = new ArrayList<Server>();
            List<Kind> kinds = List.of(new Kind(), new Kind());
            kinds.get(0).learn(20_000);
            kinds.get(1).learn(35_000);
            for (int i = 0; i < n; i++) {
                var s = new Server("s" + i, 0);
                s.listed(
                        Proxy.backend("s" + i),
                        order.group(new Group.Key(kinds.get(random.nextInt(2)), 1, random.nextInt(2) * 3 + 1)));
                s.ready = true;
                servers.add(s);
            }
            Set<Server> calm = new HashSet<>();
            servers.stream().filter(s -> random.nextInt(3) > 0).forEach(calm::add);
            order.change(servers);
            order.refresh(0.05, 7, random.nextInt(7), calm::contains);
            for (int change = 0; change < 60; change++) {
                Server s = servers.get(random.nextInt(n));
                if (random.nextBoolean()) {
                    calm.add(s);
                    s.sent(0, 1, 0);
                    s.ended(0, 0, true);
                    s.learn(random.nextInt(5) == 0 ? 900_000 : 30_000);
                } else {
                    calm.remove(s);
                }
                order.update(s, calm.contains(s));
                if (change % 20 == 19) {
                    order.refresh(0.05, 7, 3, calm::contains);
                }
                assertThat(servers.stream().mapToDouble(Server::weight).sum())
                        .isBetween(change % 20 == 19 ? 0.999_999 : 0, 1.000_001);
                assertThat(order.calm()).isEqualTo(calm.size());
                assertThat(order.restless())
                        .hasSize(n - calm.size())
                        .isSortedAccordingTo(Comparator.comparingInt(order::position));
                int sound = 0;
                Server earliest = null;
                for (int place = 0; place < n; place++) {
                    Server here = order.at(place);
                    assertThat(order.position(here)).isEqualTo(place);
                    if (calm.contains(here)) {
                        if (here.sound()) {
                            assertThat(order.placeOfSound(++sound)).isEqualTo(place);
                        }
                        earliest = earliest == null || here.deadline() < earliest.deadline() ? here : earliest;
                    }
                    assertThat(order.earliest(place))
                            .as("n " + n + " up to " + place)
                            .isSameAs(earliest);
                }
                assertThat(order.placeOfSound(sound + 1)).isEqualTo(n - 1);
            }
        }
    }

    /** What was touched is forgotten, or a refresh would cost the more the longer a proxy lives. */
    @Test
    void forgetsWhoHasNotAnsweredForLong() {
        var order = new Order();
        var kind = new Kind();
        var servers = new ArrayList<Server>();
        for (int i = 0; i < 500; i++) {
            var s = new Server("s" + i, 0);
            s.listed(Proxy.backend("s" + i), order.group(new Group.Key(kind, 1, 1)));
            s.ready = true;
            servers.add(s);
        }
        order.change(servers);
        for (int round = 0; round < 400; round++) {
            order.refresh(0.05, 1, 0, s -> true);
            Server s = servers.get(round);
            s.sent(0, 1, 0);
            order.update(s, false);
            s.ended(0, 0, true);
            s.learn(20_000);
            order.update(s, true);
            assertThat(order.touched()).isLessThan(40);
        }
    }
}
