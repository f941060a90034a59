package grebehoist.trial.scale;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Hollow proxies, processes of the built jar as control machines, the program's own writer. */
@Timeout(180)
class ScaleIT {
    private static final Path DAEMON =
            Path.of("../daemon/target/grebehoist.jar").toAbsolutePath().normalize();
    private static final Path TRIAL =
            Path.of("target/trial.jar").toAbsolutePath().normalize();

    @TempDir
    Path files;

    private List<JsonNode> lines(Path history) throws Exception {
        var lines = new ArrayList<JsonNode>();
        for (String line : Files.readAllLines(history)) {
            lines.add(Wire.JSON.readTree(line));
        }
        return lines;
    }

    /** 300 proxies, 5 control machines, one of which is killed and comes back from nothing while a tenth of all datagrams is lost. */
    @Test
    void threeHundredBearTheDeathOfAControlMachine() throws Exception {
        Path history = files.resolve("history");
        var setting = new ScalePlay.Setting(
                DAEMON, TRIAL, EnumSet.of(Weather.Kind.KILL, Weather.Kind.LOSS), 0.1, 25_000 * 50, 15, 150, history);
        ScalePlay.Outcome outcome;
        try (var play = new ScalePlay(new Plan(300, 5, 30, 100, 3, 0, 1), setting)) {
            outcome = play.run();
        }
        System.out.println(outcome.summary());
        assertThat(outcome.findings()).isEmpty();
        List<JsonNode> lines = lines(history);
        assertThat(lines)
                .filteredOn(l -> l.path("what").asText().equals("change")
                        && l.path("result").asText().equals("taken"))
                .as("changes were taken while a holder was dead")
                .hasSizeGreaterThan(100);
        assertThat(lines)
                .anyMatch(l -> l.path("what").asText().equals("process")
                        && l.path("state").asText().equals("killed"));
        assertThat(lines)
                .filteredOn(l -> l.path("what").asText().equals("filled"))
                .hasSize(300);
        assertThat(outcome.summary().at("/taken_to_in_force/all/n").asLong())
                .as("times are of changes at proxies")
                .isGreaterThan(5_000);
    }
}
