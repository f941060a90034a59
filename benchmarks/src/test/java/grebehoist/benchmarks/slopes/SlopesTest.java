package grebehoist.benchmarks.slopes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command, its fit and its plot; what it measures is measured elsewhere, and by hand. */
class SlopesTest {
    @TempDir
    private Path directory;

    @Test
    void findsAPowerLaw() {
        Fit fit = Fit.of(IntStream.of(1, 10, 100, 1_000)
                .mapToObj(x -> new Fit.Point(x, 3 * Math.pow(x, 1.5)))
                .toList());
        assertThat(fit.a()).isCloseTo(3, within(1e-9));
        assertThat(fit.exponent()).isCloseTo(1.5, within(1e-9));
        assertThat(fit.deviation()).isCloseTo(0, within(1e-9));
        assertThat(fit.at(10_000)).isCloseTo(3e6, within(1e-3));
    }

    @Test
    void saysHowFarAMeasuredValueLiesOff() {
        // Alternately half and double a constant: the fit goes through the middle.
        Fit fit = Fit.of(
                List.of(new Fit.Point(1, 2), new Fit.Point(10, 0.5), new Fit.Point(100, 0.5), new Fit.Point(1_000, 2)));
        assertThat(fit.exponent()).isCloseTo(0, within(1e-9));
        assertThat(fit.deviation()).isCloseTo(1, within(1e-9));
    }

    @Test
    void findsAFixedPart() {
        Line line = Line.of(IntStream.of(1, 10, 100, 1_000)
                .mapToObj(x -> new Fit.Point(x, 40 + 3.0 * x))
                .toList());
        assertThat(line.fixed()).isCloseTo(40, within(1e-6));
        assertThat(line.each()).isCloseTo(3, within(1e-9));
        assertThat(line.deviation()).isCloseTo(0, within(1e-9));
        assertThat(line.at(2_000)).isCloseTo(6_040, within(1e-3));
    }

    @Test
    void leavesOutWhatALogarithmCantTake() {
        assertThat(Fit.of(List.of(new Fit.Point(1, 0), new Fit.Point(10, 5)))).isNull();
        assertThat(Fit.of(List.of(new Fit.Point(10, 5), new Fit.Point(10, 6)))).isNull();
    }

    @Test
    void drawsWellFormedPanels() throws Exception {
        var slope = new Slope("some", "things & more", "", List.of(1), 5_000, false, n -> Map.of());
        String svg = Plot.of(
                slope,
                Map.of(
                        "a_us",
                        List.of(new Fit.Point(10, 1), new Fit.Point(1_000, 90)),
                        "zero",
                        List.of(new Fit.Point(10, 0))));
        var document = DocumentBuilderFactory.newInstance()
                .newDocumentBuilder()
                .parse(new java.io.ByteArrayInputStream(svg.getBytes()));
        assertThat(document.getElementsByTagName("circle").getLength()).isEqualTo(2);
        assertThat(document.getElementsByTagName("g").getLength()).isEqualTo(2);
    }

    @Test
    void anUnknownNameIsWrong() {
        var said = new StringWriter();
        int code = new CommandLine(new Slopes()).setErr(new PrintWriter(said)).execute("nonsense");
        assertThat(code).isEqualTo(2);
        assertThat(said.toString()).contains("nonsense", "list-memory");
    }

    @Test
    void readsAgainWhatItHasWritten() throws Exception {
        Path lines = directory.resolve("points.jsonl");
        var first = new StringWriter();
        assertThat(new CommandLine(new Slopes())
                        .setOut(new PrintWriter(first))
                        .execute("placement", "--sizes", "75,300", "--json", lines.toString()))
                .isZero();
        assertThat(Files.readAllLines(lines).stream().filter(l -> l.contains("\"what\":\"point\"")))
                .hasSize(2);
        var again = new StringWriter();
        assertThat(new CommandLine(new Slopes())
                        .setOut(new PrintWriter(again))
                        .execute("placement", "--read", lines.toString(), "--plot", directory.toString()))
                .isZero();
        assertThat(directory.resolve("placement.svg")).exists();
        assertThat(fits(again.toString())).isNotEmpty().hasSameSizeAs(fits(first.toString()));
    }

    private static List<String> fits(String lines) {
        return lines.lines().filter(l -> l.contains("\"what\":\"fit\"")).toList();
    }

    @Test
    void boundedLoadsStayWithinTheirBound() {
        assertThat(PlacementSlopes.placement(600).get("bounded_worst_of_mean")).isLessThanOrEqualTo(1.2500001);
    }
}
