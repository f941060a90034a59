package grebehoist.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExperimentTest {
    private static final String GOOD = Text.fleet(2, 3, 0.5, "");

    @TempDir
    private Path folder;

    /** What is wrong is named, with its place. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            proxies = 2|proxies = 0|test: proxies: expected 1 to 10,000
            retries = 1|retrys = 1|load.retrys
            seconds = 20|seconds = \"long\"|seconds
            machines = 3|machines = 0|kind.machines
            cold_from = 0.5|cold_from = 1.5|kind std
            share = 0.7|share = -1|class.share
            aim_ms = 600|aim_ms = 3000|class read
            effect = "unsafe"|effect = "maybe"|class[1].effect
            utilisation = 0.5|utilisation = 0|load: expected
            retries = 1|steps = [[1, 2, 3]]|load.steps
            ["beechfall"]|["beechfal"]|no policy "beechfal"
            warmup_s = 2|warmup_s = |line 4
            [load]|[[fault]]\\nkind = "hang"\\nat_s = 1\\n[load]|fault HANG
            """)
    void badInputIsNamed(String part, String instead, String message) {
        String text = GOOD.replaceFirst(
                java.util.regex.Pattern.quote(part),
                java.util.regex.Matcher.quoteReplacement(instead.replace("\\n", "\n")));
        assertThat(text).isNotEqualTo(GOOD);
        assertThatThrownBy(() -> Text.experiment(text))
                .isInstanceOf(LabException.class)
                .hasMessageStartingWith("test: ")
                .hasMessageContaining(message);
    }

    @Test
    void theRateFollowsFromTheUtilisationAndTheLoadFromItsSteps() {
        Experiment e = Text.experiment(GOOD.replace("retries = 1", "steps = [[5, 2], [10, 0.5]]"));
        assertThat(e.ratePerS()).isEqualTo(75);
        assertThat(e.load().factor(0)).isEqualTo(1);
        assertThat(e.load().factor(5)).isEqualTo(2);
        assertThat(e.load().factor(19)).isEqualTo(0.5);
        Figures f = new World(e, "oracle", 1).play();
        assertThat(f.atRow(7)[4]).isBetween(110L, 190L);
        assertThat(f.atRow(15)[4]).isBetween(15L, 70L);
    }

    @Test
    void theCommandLineTellsWhatItPlaysAndWhatItFinds() throws Exception {
        Path file = Files.writeString(folder.resolve("a.toml"), GOOD.replace("utilisation = 0.5", "utilisation = 0.9"));
        Path json = folder.resolve("out.json");
        assertThat(lab("run", file.toString(), "--policy", "oracle", "--repetitions", "2", "--json", json.toString()))
                .startsWith("0 ")
                .contains("2 proxies, 3 machines")
                .containsPattern("oracle +[01]\\.\\d{4} ");
        assertThat(new com.fasterxml.jackson.databind.ObjectMapper().readTree(json.toFile()))
                .hasSize(2);
        assertThat(lab("compare", file.toString(), "random", "random"))
                .startsWith("0 ")
                .contains("no difference shown");
        assertThat(lab("compare", file.toString(), "oracle", "random", "--repetitions", "6"))
                .contains("oracle is better");
        assertThat(lab("list", folder.toString())).contains("a.toml", "a fleet");
        assertThat(lab("show", file.toString())).contains("135 requests a second");
        assertThat(lab("run", folder.resolve("none.toml").toString()))
                .startsWith("2 ")
                .contains("none.toml: cannot be read");
        assertThat(lab("run", file.toString(), "--polcy", "x")).startsWith("2 ").contains("--policy");
        assertThat(lab("run", "--help")).startsWith("0 ").contains("--repetitions");
    }

    private static String lab(String... args) {
        var out = new StringWriter();
        var writer = new PrintWriter(out, true);
        return Lab.execute(writer, writer, args) + " " + out;
    }
}
