package grebehoist.search;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScriptTest {
    @Test
    void readsWhatItWrites() {
        for (long seed = 0; seed < 200; seed++) {
            String text = Script.draw(seed).toString();
            assertThat(Script.parse(text)).hasToString(text);
        }
    }

    @Test
    void readsNotesAndEmptyLines() {
        Script script = Script.parse(
                "seed=3 proxies=1 backends=2 load=0.5 length=900\n\n# a drain\n10 REPLACE 0 50 1.0 # now\n");
        assertThat(script.steps()).containsExactly(new Script.Step(10, Fault.REPLACE, 0, 50, 1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "seed=3 proxies=1|line 1:",
                "seed=x proxies=1 backends=2 load=0.5 length=900|line 1:",
                "seed=3 proxies=1 backends=2 load=0.5 length=900;10 REPLACE 0 50 1;20 FLOOD 0 50 1|line 3:",
                "seed=3 proxies=1 backends=2 load=0.5 length=900;10 REPLACE 0|line 2:"
            })
    void namesTheLineThatIsWrong(String text, String line) {
        assertThatThrownBy(() -> Script.parse(text.replace(';', '\n')))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageStartingWith(line);
    }

    /** Only what matters is left, and it still fails in the same way. */
    @Test
    void shrinksToWhatMatters() {
        Script script = Script.parse("""
                seed=3 proxies=3 backends=4 load=0.8 length=4000
                10 REPLACE 0 50 1
                20 SILENT 1 50 1
                30 DRIP 2 50 1
                40 PAUSE 0 50 1
                """);
        var small = new Shrinker(
                        s -> s.steps().stream()
                                        .map(Script.Step::fault)
                                        .toList()
                                        .containsAll(List.of(Fault.SILENT, Fault.PAUSE))
                                && s.lengthMs() >= 1_000,
                        1_000)
                .shrink(script);
        assertThat(small.steps()).extracting(Script.Step::fault).containsExactly(Fault.SILENT, Fault.PAUSE);
        assertThat(small.proxies()).isEqualTo(1);
        assertThat(small.lengthMs()).isBetween(1_000L, 1_500L);
    }

    @Test
    void shrinkingEndsWhenItsPlaysAreUsedUp() {
        var plays = new int[1];
        new Shrinker(
                        s -> {
                            plays[0]++;
                            return true;
                        },
                        7)
                .shrink(Script.draw(5));
        assertThat(plays[0]).isLessThanOrEqualTo(7);
    }
}
