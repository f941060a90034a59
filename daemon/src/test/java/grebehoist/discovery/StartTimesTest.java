package grebehoist.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Backend;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.State;
import grebehoist.engine.Listed;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A process whose wall clock was right, ahead or behind when it started. */
class StartTimesTest {
    private static final long S = 1_000_000;
    private static final long HOUR = 3_600 * S;
    private static final long NOW = 1_800_000_000L * S;

    private final StartTimes starts = new StartTimes();

    private static Listed listed(String id, long startedUs) {
        return new Listed(new Backend(id, State.READY, "m", "a", 0, startedUs, 1), "127.0.0.1:1");
    }

    private long told(ListKind kind, String id, long startedUs, long nowUs) {
        return starts.translate(kind, List.of(listed(id, startedUs)), nowUs)
                .get(0)
                .backend()
                .startedAtUs();
    }

    @Test
    void aClockThatIsRightChangesNothing() {
        assertThat(told(ListKind.CACHED, "a", 0, NOW)).isZero();
        assertThat(told(ListKind.FULL, "a", NOW - 30 * S, NOW)).isEqualTo(NOW - 30 * S);
        assertThat(told(ListKind.DELTA, "b", NOW - S, NOW)).isEqualTo(NOW - S);
        // Once one was told in time, a late one is late.
        assertThat(told(ListKind.DELTA, "c", NOW - 5 * S, NOW)).isEqualTo(NOW - 5 * S);
    }

    @Test
    void aClockThatIsAheadDoesNotMakeColdBackendsWarm() {
        told(ListKind.FULL, "a", 0, NOW);
        long toldAt = NOW;
        long started = toldAt - HOUR - S;
        assertThat(told(ListKind.DELTA, "b", started, toldAt)).isEqualTo(toldAt);
        assertThat(told(ListKind.DELTA, "c", started + 10 * S, toldAt + 10 * S)).isEqualTo(toldAt + 10 * S);
    }

    @Test
    void aClockThatIsBehindDoesNotKeepBackendsCold() {
        long started = NOW + HOUR;
        assertThat(told(ListKind.FULL, "a", started, NOW)).isEqualTo(NOW);
        assertThat(told(ListKind.DELTA, "b", started + 4 * S, NOW + 5 * S)).isEqualTo(NOW + 4 * S);
    }

    /** To the decision module another start is another process: what was told once stays. */
    @Test
    void aStartIsTranslatedOnce() {
        told(ListKind.FULL, "a", NOW - 30 * S, NOW);
        told(ListKind.DELTA, "b", NOW - HOUR, NOW);
        assertThat(told(ListKind.DELTA, "a", NOW - 30 * S, NOW + S)).isEqualTo(NOW - 30 * S);
        long b = told(ListKind.DELTA, "b", NOW - HOUR, NOW + S);
        assertThat(b).isEqualTo(NOW);
        told(ListKind.DELTA, "c", NOW + S, NOW + 2 * S);
        assertThat(told(ListKind.DELTA, "b", NOW - HOUR, NOW + 3 * S)).isEqualTo(b);
    }
}
