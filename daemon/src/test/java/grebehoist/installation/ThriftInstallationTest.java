package grebehoist.installation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import grebehoist.thrift.ThriftMethod;
import grebehoist.thrift.ThriftOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Methods and listeners for Thrift in the installation file. */
class ThriftInstallationTest {
    private static final Path EXAMPLE = Path.of("../deploy/thrift-example.toml");

    @TempDir
    private Path folder;

    @Test
    void readsTheExample() throws Exception {
        Installation i = Installation.read(EXAMPLE);
        ThriftOptions options = i.listeners().get(0).thrift();
        assertThat(options.methods())
                .containsExactly(
                        new ThriftMethod(
                                "postPayment",
                                "post-payment",
                                new ThriftMethod.At("2.1"),
                                new ThriftMethod.At("2.3"),
                                null,
                                new ThriftMethod.At("4"),
                                new ThriftMethod.At("1"),
                                null,
                                null),
                        new ThriftMethod(
                                "Balances:*",
                                "read-balance",
                                new ThriftMethod.Fixed("dalen-energi"),
                                null,
                                new ThriftMethod.At("1"),
                                null,
                                null,
                                null,
                                new ThriftMethod.Refusal(1, 1, 2)));
        assertThat(options.refuseUnknown()).isFalse();
        assertThat(options.maxFrame()).isEqualTo(65_536);
        assertThat(options.maxOpen()).isEqualTo(64);
        assertThat(i.pools().get(0).protocol()).isEqualTo("thrift");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "key = \"2.3\"|about = \"2.2\"|[[thrift.method]] \"postPayment\": key 'key': class \"post-payment\" is keyed: the path of the key is wanted",
                "key = \"2.3\"|key = { fixed = \"k\" }|[[thrift.method]] \"postPayment\": key 'key': class \"post-payment\" is keyed: the path of the key is wanted",
                "key = \"2.3\"|key = \"two.three\"|[[thrift.method]] \"postPayment\": key 'key': a path of field ids such as \"2.1\", or { fixed = \"...\" }, is wanted, not \"two.three\"",
                "tenant = \"2.1\"|about = \"2.1\"|[[thrift.method]] \"postPayment\": key 'tenant': pool \"billing\" has tenants: the path of the tenant, or { fixed = ... }, is wanted",
                "fixed = \"dalen-energi\"|fixed = \"nobody\"|[[thrift.method]] \"Balances:*\": key 'tenant': pool \"billing\" has no tenant \"nobody\"",
                "class = \"read-balance\"|class = \"read\"|[[thrift.method]] \"Balances:*\": key 'class': pool \"billing\" has no class \"read\"",
                "name = \"Balances:*\"|name = \"B*x\"|[[thrift.method]] \"B*x\": key 'name': a * stands at its end alone",
                "unknown_method = \"fail\"|unknown_method = \"guess\"|[thrift]: key 'unknown_method': 'guess' is none of fail, refuse",
                "max_frame = 65536|max_frame = 99999999|[[pool]] \"billing\": key 'max_frame': a whole number from 64 to 16777216 is wanted, not 99999999",
                "refusal = { field = 1,|refusal = { feld = 1,|[[thrift.method]] \"Balances:*\" / [refusal]: key 'feld': unknown",
                "max_open = 64|max_opn = 64|[[listener]] \"billing-in\": key 'max_opn': unknown"
            })
    void namesFileTableAndKey(String good, String bad, String problem) throws Exception {
        String text = Files.readString(EXAMPLE);
        assertThat(text).contains(good);
        Path file = Files.writeString(folder.resolve("t.toml"), text.replace(good, bad));
        var thrown = catchThrowableOfType(Installation.BadInstallation.class, () -> Installation.read(file));
        assertThat(thrown).as("a bad file is taken for a good one").isNotNull();
        assertThat(thrown.problems()).contains(file + ": " + problem);
    }
}
