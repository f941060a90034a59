package beechfall;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import beechfall.Balancer.Backend;
import beechfall.Balancer.Rules;
import beechfall.Balancer.State;
import org.junit.jupiter.api.Test;

/** What a cold backend may be sent: by one proxy alone, by all of them, and where there is less than one request for each. */
class SlowStartTest {
    private static final long S = 1_000_000;
    private static final long STARTED = 100 * S;
    private static final Rules RULES = new Rules(0.4, 8 * S, 4, S, 10 * S, false);
    private static final double WARMTH = 0.4;
    /** Of each proxy, a second, in the fleet of ten. */
    private static final double BORNE_PER_S = 50;

    private final SlowStart slowStart = new SlowStart(RULES);

    private static Server server() {
        var server = new Server("s1", STARTED);
        server.listed(
                new Backend("s1", State.READY, "m", "a", 1, STARTED, 1), new Group(new Group.Key(new Kind(), 1, 1)));
        return server;
    }

    private double budget(Server server, double bornePerS, int balancers, int rank, long now) {
        return slowStart.budget(server, WARMTH, bornePerS / S, 1, balancers, rank, now);
    }

    @Test
    void oneRequestMayComeAtOnceAndMoreAsTimeGoesBy() {
        Server server = server();
        assertThat(budget(server, BORNE_PER_S, 10, 0, STARTED)).isEqualTo(1);
        double later = budget(server, BORNE_PER_S, 10, 0, STARTED + S / 10);
        assertThat(later).isGreaterThan(1);
        server.coldTokens().take();
        assertThat(budget(server, BORNE_PER_S, 10, 0, STARTED + S / 10)).isEqualTo(later - 1);
    }

    @Test
    void allProxiesTogetherStayBelowWhatOverloadsIt() {
        int balancers = 10;
        double sent = 0;
        for (int rank = 0; rank < balancers; rank++) {
            Server server = server();
            for (long now = STARTED; now < STARTED + S; now += 4_000) {
                while (budget(server, BORNE_PER_S, balancers, rank, now) >= 1) {
                    server.coldTokens().take();
                    sent++;
                }
            }
        }
        assertThat(sent).isBetween(WARMTH * BORNE_PER_S, slowStart.allowance(WARMTH, BORNE_PER_S / S, balancers));
    }

    @Test
    void whereThereIsLessThanOneRequestForEachTheyTakeTurns() {
        int balancers = 100;
        double bornePerS = 0.1;
        for (long now = STARTED; now < STARTED + 5 * S; now += S / 4) {
            int mayGo = 0;
            for (int rank = 0; rank < balancers; rank++) {
                mayGo += budget(server(), bornePerS, balancers, rank, now) >= 1 ? 1 : 0;
            }
            assertThat(mayGo).as("at %d", now).isBetween(1, balancers / 4);
        }
    }

    @Test
    void fewRequestsAreAllowedMoreDeviations() {
        // 4 x 0.4 x 10 a second for one proxy: 16, below the 30 of STANDING.
        assertThat(slowStart.allowance(WARMTH, 10.0 / S, 1)).isCloseTo(16 + 3 * 4 + 3, within(1e-6));
        assertThat(slowStart.allowance(WARMTH, 40.0 / S, 1)).isCloseTo(64 + 2 * 8 + 2, within(1e-6));
    }
}
