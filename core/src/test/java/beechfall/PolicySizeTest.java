package beechfall;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The files that the deploy file names as the policy stay within the operators' limit (GROWTH.md), counted as their bench does. */
class PolicySizeTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern LIST = Pattern.compile("(?m)^policy = \\[(.*)]$");
    private static final Pattern FILE = Pattern.compile("\"([^\"]+)\"");
    private static final long MOST_LINES = 1_200;

    private static Map<String, Long> sizes() throws IOException {
        var list = LIST.matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertThat(list.find()).as("a list of files in deploy/balancer.toml").isTrue();
        var sizes = new TreeMap<String, Long>();
        FILE.matcher(list.group(1)).results().forEach(file -> sizes.put(file.group(1), lines(file.group(1))));
        return sizes;
    }

    private static long lines(String file) {
        try {
            return Files.readAllLines(ROOT.resolve(file)).stream()
                    .filter(line -> !line.isBlank())
                    .count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void thePolicyStaysWithinItsLimit() throws IOException {
        Map<String, Long> sizes = sizes();
        assertThat(sizes).isNotEmpty();
        long sum = sizes.values().stream().mapToLong(Long::longValue).sum();
        assertThat(sum)
                .as(
                        "lines that are not blank; the largest file is %s",
                        sizes.entrySet().stream()
                                .max(Comparator.comparingLong(Map.Entry::getValue))
                                .orElseThrow())
                .isLessThanOrEqualTo(MOST_LINES);
    }
}
