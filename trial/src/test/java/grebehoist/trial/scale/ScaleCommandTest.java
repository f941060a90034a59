package grebehoist.trial.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class ScaleCommandTest {
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        return new CommandLine(new ScaleCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
    }

    @Test
    void badArgumentsAreNamed() {
        assertThat(run("--proxies", "0")).isEqualTo(2);
        assertThat(err.toString()).contains("1 to 20000 proxies");
        assertThat(run("--loss", "1")).isEqualTo(2);
        assertThat(run("--control", "65")).isEqualTo(2);
        assertThat(run("--changes-a-day", "0")).isEqualTo(2);
        assertThat(run("--faults", "earthquake")).isEqualTo(2);
        assertThat(err.toString()).contains("earthquake");
        assertThat(run("--daemon", "nothing.jar")).isEqualTo(2);
        assertThat(err.toString()).contains("there is no nothing.jar");
    }
}
