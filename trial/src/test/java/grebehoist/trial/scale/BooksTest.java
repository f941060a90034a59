package grebehoist.trial.scale;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class BooksTest {
    private final Plan plan = new Plan(1, 3, 1, 1, 1, 0, 1);
    private final Judge judge = new Judge(plan);
    private final Books books = new Books(plan, judge);

    private static ObjectNode set(String key, String value) {
        return Wire.JSON
                .createObjectNode()
                .put("op", "set")
                .put("scope", "fleet")
                .put("kind", 2)
                .put("key", key)
                .put("value", value);
    }

    private static ObjectNode answer(String result, long version) {
        return Wire.JSON
                .createObjectNode()
                .put("t_us", 1)
                .put("result", result)
                .put("version", version)
                .put("why", "so");
    }

    private static long digest(String key, String value) {
        return Contents.digest(2, key, value.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void onlyWhatIsTakenCounts() {
        assertThat(books.answered(set("a", "1"), 0, answer("taken", 1))).isTrue();
        assertThat(books.answered(set("a", "2"), 0, answer("refused", 0))).isFalse();
        assertThat(books.versions()[0]).isEqualTo(1);
        assertThat(books.digests()[0]).isEqualTo(digest("a", "1"));
        assertThat(books.results()).containsEntry("taken", 1).containsEntry("refused", 1);
        assertThat(books.reasons()).containsExactly("refused: so");
    }

    /** The next one tells whether what was in doubt was taken: it has the version after it, or its version. */
    @Test
    void aDoubtIsSettledByTheNextChange() {
        books.answered(set("a", "1"), 0, answer("unknown", 0));
        assertThat(books.doubtful()).containsExactly(0);
        books.answered(set("b", "2"), 0, answer("taken", 2));
        assertThat(books.digests()[0]).isEqualTo(digest("a", "1") + digest("b", "2"));
        books.answered(set("a", "3"), 0, answer("unknown", 0));
        books.answered(set("b", "4"), 0, answer("taken", 3));
        assertThat(books.digests()[0]).isEqualTo(digest("a", "1") + digest("b", "4"));
        assertThat(books.doubtful()).isEmpty();
        assertThat(judge.findings()).isEmpty();
    }

    @Test
    void aVersionThatIsLeftOutIsFound() {
        books.answered(set("a", "1"), 0, answer("taken", 1));
        books.answered(set("a", "2"), 0, answer("taken", 3));
        assertThat(judge.findings()).containsExactly("fleet: version 3 comes after 1");
    }

    @Test
    void suspensionsComeAndGo() {
        books.answered(
                Wire.JSON
                        .createObjectNode()
                        .put("op", "suspend")
                        .put("scope", "fleet")
                        .put("key", "b1"),
                0,
                answer("taken", 1));
        assertThat(books.digests()[0]).isEqualTo(Contents.digest(1, "b1", new byte[0]));
        books.answered(
                Wire.JSON
                        .createObjectNode()
                        .put("op", "resume")
                        .put("scope", "fleet")
                        .put("key", "b1"),
                0,
                answer("taken", 2));
        assertThat(books.digests()[0]).isZero();
        assertThat(books.items()).isZero();
    }

    /** What hollow proxies have at the end is held against what was taken. */
    @Test
    void whoHasSomethingElseIsFound() {
        var tally = new Tally(plan);
        long[] versions = {1, 2, 0};
        long[] digests = {5, 6, 0};
        ObjectNode figures = Wire.line(0, "p0", "figures")
                .put("who", "p0")
                .put("for_us", 1_000_000)
                .put("window", 40_000);
        figures.withArray("has").addArray().add(0).add(1).add(5);
        figures.withArray("has").addArray().add(1).add(2).add(7);
        tally.figures(figures);
        tally.judge(judge, versions, digests);
        assertThat(judge.findings())
                .hasSize(3)
                .anyMatch(f -> f.contains("something else in force in c0/s0"))
                .anyMatch(f -> f.contains("says nothing of c0/t"))
                .anyMatch(f -> f.contains("3636 bytes a second"));
    }
}
