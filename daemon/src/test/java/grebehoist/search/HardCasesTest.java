package grebehoist.search;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.testkit.Witness.Count;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The cases that are known to be hard, each played under many seeds; the counts show that the case came about. */
class HardCasesTest {
    private static final int SEEDS = 25;

    private static Map<Count, Long> play(String steps) {
        return play(0.6, steps);
    }

    private static Map<Count, Long> play(double load, String steps) {
        var sum = new EnumMap<Count, Long>(Count.class);
        for (int seed = 1; seed <= SEEDS; seed++) {
            Script script =
                    Script.parse("seed=" + seed + " proxies=2 backends=4 load=" + load + " length=5000\n" + steps);
            World.Report report = World.play(script);
            assertThat(report.broken())
                    .as(script + "" + report.violations() + report.errors())
                    .isFalse();
            report.counts().forEach((c, n) -> sum.merge(c, n, Long::sum));
        }
        return sum;
    }

    /** Deadlines have passed, answers wait in the sockets, and so do drains. */
    @Test
    void aProxyIsStoppedForThreeSeconds() {
        var counts = play("""
                1000 PAUSE 0 3000 1
                1000 PAUSE 1 2000 1
                1500 REPLACE 0 700 1
                1800 SHRINK 1 2000 1
                """);
        assertThat(counts.get(Count.EXCUSED)).isGreaterThan(100);
        assertThat(counts.get(Count.TOLD)).isEqualTo(SEEDS * 4L);
    }

    /** A short stop lets an answer, the drain of its backend and the answer's client going all come in one go. */
    @Test
    void anAnswerItsBackendsDrainAndItsClientsGoingComeTogether() {
        var steps = new StringBuilder("0 HANG_UPS 0 5000 0.5\n");
        for (int at = 200; at < 5000; at += 300) {
            steps.append(at).append(" PAUSE 0 ").append(40 + at % 200).append(" 1\n");
            steps.append(at + 10).append(" DRAIN_AND_BACK ").append(at / 300).append(" 200 1\n");
        }
        var counts = play(steps.toString());
        assertThat(counts.get(Count.LEFT)).isGreaterThan(300);
        assertThat(counts.get(Count.TOLD)).isGreaterThan(SEEDS * 10L);
    }

    /** Backends so slow that answers come about when the attempts' time-outs do. */
    @Test
    void timeOutsRaceAnswers() {
        var counts = play(0.3, """
                300 SLOW 0 4500 7
                300 SLOW 1 4500 8
                300 SLOW 2 4500 6
                300 SLOW 3 4500 7.5
                """);
        assertThat(counts.get(Count.ATTEMPTS)).isGreaterThan(counts.get(Count.SERVED));
    }

    /** Under the same id, at the same address, while attempts are out; discovery hears late or not at all. */
    @Test
    void aBackendRestartsWhereItWas() {
        var steps = new StringBuilder();
        for (int at = 200; at < 5000; at += 150) {
            steps.append(at)
                    .append(" CRASH ")
                    .append(at / 150)
                    .append(' ')
                    .append(1 + at % 37)
                    .append(" 1\n");
        }
        var counts = play(steps.toString());
        assertThat(counts.get(Count.ATTEMPTS)).isGreaterThan(counts.get(Count.SERVED));
    }

    @Test
    void discoveryGoesBackInVersion() {
        var steps = new StringBuilder();
        for (int at = 200; at < 5000; at += 400) {
            steps.append(at).append(" REPLACE ").append(at / 400).append(" 300 1\n");
            steps.append(at + 100).append(" DISCOVERY_STALE 0 250 1\n");
        }
        var counts = play(steps.toString());
        assertThat(counts.get(Count.TOLD)).isGreaterThan(SEEDS * 8L);
    }

    /**
     * Found by the search: the stop began right after a beat, and a request that came then was taken to be 10 ms younger than
     * it was; its answer was 4 ms late.
     */
    @Test
    void aRequestThatComesAsTheStopBeginsIsAnsweredInTime() {
        World.Report report = World.play(Script.parse("""
                seed=2029023 proxies=2 backends=3 load=0.961 length=1418
                1188 PAUSE 4 816 0.18
                371 PAUSE 2 106 0.09
                """));
        assertThat(report.violations()).isEmpty();
    }

    /** Found by the search: what was sent again waited for the loop to settle, until its key's window was over. */
    @Test
    void whatIsSentAgainAfterAStopIsInItsWindow() {
        World.Report report = World.play(Script.parse("""
                seed=5040161 proxies=2 backends=5 load=0.866 length=2577
                1994 PAUSE 7 238 0.23
                1423 HALF_SILENT 6 617 0.42
                1533 BURST 4 983 3.58
                """));
        assertThat(report.violations()).isEmpty();
    }

    /** Killed in the middle of everything, and back with the list that it had. */
    @Test
    void proxiesAreKilledAgainAndAgain() {
        var steps = new StringBuilder("0 DAWDLERS 0 5000 0.3\n");
        for (int at = 300; at < 5000; at += 250) {
            steps.append(at)
                    .append(" KILL ")
                    .append(at / 250 % 2)
                    .append(' ')
                    .append(20 + at % 120)
                    .append(" 1\n");
            steps.append(at + 40).append(" RESET_LATE ").append(at / 250).append(" 60 1\n");
        }
        var counts = play(steps.toString());
        assertThat(counts.get(Count.SERVED)).isGreaterThan(1_000);
    }
}
