package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The soak's short form: three seeds, ten or twelve processes of the built jar. The long one is started by hand (docs/trial.md). */
@Timeout(300)
class SoakIT {
    private static final Path JAR =
            Path.of("../daemon/target/grebehoist.jar").toAbsolutePath().normalize();

    private static int soak(String... more) {
        var args = new ArrayList<String>(List.of("soak", "--daemon", JAR.toString()));
        args.addAll(List.of(more));
        return Trial.execute(
                new PrintWriter(System.out, true), new PrintWriter(System.err, true), args.toArray(String[]::new));
    }

    @Test
    void twoSeedsHold() {
        assertThat(soak("--seeds", "2", "--seed", "5200", "--processes", "12", "--seconds", "25"))
                .isZero();
    }

    /** With long and slow messages among the others. */
    @Test
    void aSeedOfLongMessagesHolds() {
        assertThat(soak("--seeds", "1", "--seed", "5203", "--processes", "10", "--seconds", "15"))
                .isZero();
    }

    /** A seed that was found to fail is played again as it was, whatever kinds have been added since. */
    @Test
    void theKindsThatWereAddedChangeNothingOfTheOthers() {
        var before = EnumSet.allOf(SoakFault.Kind.class);
        before.removeIf(SoakFault.Kind::added);
        SoakSchedule all = SoakSchedule.draw(7, 10, 40, 60, EnumSet.allOf(SoakFault.Kind.class));
        assertThat(all.faults())
                .containsAll(SoakSchedule.draw(7, 10, 40, 60, before).faults());
        assertThat(all.faults()).anyMatch(f -> f.kind().added());
    }

    @Test
    void aSeedDrawsTheSameScheduleEachTime() {
        var all = EnumSet.allOf(SoakFault.Kind.class);
        SoakSchedule first = SoakSchedule.draw(7, 10, 40, 60, all);
        assertThat(SoakSchedule.draw(7, 10, 40, 60, all)).isEqualTo(first);
        assertThat(SoakSchedule.draw(8, 10, 40, 60, all)).isNotEqualTo(first);
        assertThat(first.processes()).isBetween(10, 40);
    }

    @Test
    void badArgumentsAreNamed() {
        var err = new StringWriter();
        assertThat(Trial.execute(
                        new PrintWriter(System.out),
                        new PrintWriter(err, true),
                        "soak",
                        "--daemon",
                        JAR.toString(),
                        "--faults",
                        "earthquake"))
                .isEqualTo(2);
        assertThat(err.toString()).contains("there is no 'earthquake'");
        assertThat(Trial.execute(
                        new PrintWriter(System.out),
                        new PrintWriter(err, true),
                        "soak",
                        "--daemon",
                        JAR.toString(),
                        "--processes",
                        "many"))
                .isEqualTo(2);
        assertThat(err.toString()).contains("'many' is neither a number nor a range");
    }
}
