package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Histories that are forged: what must not be is found, what the page allows is explained. */
class LeaseCheckerTest {
    private final LeaseChecker checker = new LeaseChecker();

    private LeaseCheckerTest effect(String kind, String holder, long token, long run, long beganMs, long endedMs)
            throws Exception {
        checker.line(History.JSON.readTree(String.format(
                Locale.ROOT,
                "{\"what\":\"effect\",\"task\":\"t0\",\"class\":\"%s\",\"holder\":\"%s\",\"token\":%d,"
                        + "\"run\":%d,\"began_us\":%d,\"ended_us\":%d,\"accepted\":true}",
                kind,
                holder,
                token,
                run,
                beganMs * 1_000,
                endedMs * 1_000)));
        return this;
    }

    private LeaseCheckerTest holding(String holder, long token, long fromMs) throws Exception {
        checker.line(History.JSON.readTree(String.format(
                Locale.ROOT,
                "{\"what\":\"holding\",\"task\":\"t0\",\"holder\":\"%s\",\"token\":%d,\"from_us\":%d}",
                holder,
                token,
                fromMs * 1_000)));
        return this;
    }

    private LeaseCheckerTest process(String who, String state, long atMs) throws Exception {
        checker.line(History.JSON.readTree(String.format(
                Locale.ROOT,
                "{\"what\":\"process\",\"who\":\"%s\",\"state\":\"%s\",\"t_us\":%d}",
                who,
                state,
                atMs * 1_000)));
        return this;
    }

    @Test
    void aGoodHistoryIsGood() throws Exception {
        holding("n1", 5, 0).holding("n2", 8, 4_000).process("n1", "killed", 2_000);
        effect("fenced", "n1", 5, 1, 100, 300).effect("fenced", "n2", 8, 2, 4_100, 4_400);
        assertThat(checker.judge().findings()).isEmpty();
        assertThat(checker.judge().takeoversUs()).containsExactly(2_000_000L);
        assertThat(checker.judge().toString()).contains("2 effects").contains("median 2.00 s");
    }

    @Test
    void effectsThatOverlapAreFound() throws Exception {
        effect("fenced", "n1", 5, 1, 100, 300).effect("fenced", "n2", 8, 2, 299, 400);
        assertThat(checker.judge().findings()).singleElement().asString().startsWith("overlap: run 1 of t0 by n1");
    }

    @Test
    void aStopExplainsATimedOverlapAndNoFencedOne() throws Exception {
        process("n1", "stopped", 100).process("n1", "continued", 3_000);
        effect("timed", "n1", 5, 1, 3_010, 3_200).effect("timed", "n2", 8, 2, 3_100, 3_300);
        assertThat(checker.judge().findings()).isEmpty();
        assertThat(checker.judge().explained()).hasSize(1);
        effect("fenced", "n1", 5, 3, 5_010, 5_200).effect("fenced", "n2", 8, 4, 5_100, 5_300);
        assertThat(checker.judge().findings()).isNotEmpty();
    }

    @Test
    void aTimedOverlapWithoutAStopIsFound() throws Exception {
        process("n3", "stopped", 100).process("n3", "continued", 3_000).process("n1", "stopped", 9_000);
        effect("timed", "n1", 5, 1, 3_010, 3_200).effect("timed", "n2", 8, 2, 3_100, 3_300);
        assertThat(checker.judge().findings()).hasSize(1);
    }

    @Test
    void tokensThatDoNotGrowAreFound() throws Exception {
        effect("fenced", "n2", 8, 1, 100, 200).effect("fenced", "n1", 5, 2, 300, 400);
        assertThat(checker.judge().findings()).singleElement().asString().startsWith("token: run 2");
        holding("n1", 5, 0).holding("n2", 5, 10).holding("n3", 9, 20).holding("n4", 7, 30);
        assertThat(checker.judge().findings())
                .anyMatch(f -> f.contains("held twice with token 5"))
                .anyMatch(f -> f.contains("token 9 by n3 before token 7 by n4"));
    }

    @Test
    void aRunThatIsDoneTwiceIsFound() throws Exception {
        effect("fenced", "n1", 5, 1, 100, 200).effect("fenced", "n2", 8, 1, 300, 400);
        assertThat(checker.judge().findings()).singleElement().asString().startsWith("twice: run 1");
    }
}
