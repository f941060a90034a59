package grebehoist.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beechfall.Balancer;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.cli.Fixture;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The configuration: what it says, and one plain line on what is wrong with it. */
class ConfigTest {
    @Test
    void readsTheSettings() throws Exception {
        Config config = Config.parse(Fixture.config());
        assertThat(config.settings().seed()).isEqualTo(0x92094eb940cf389aL);
        assertThat(config.settings().limits().listMustBeAsked()).isTrue();
        assertThat(config.settings().classes())
                .extracting(Balancer.RequestClass::effect)
                .containsExactly(Balancer.Effect.SAFE, Balancer.Effect.KEYED, Balancer.Effect.UNSAFE);
        assertThat(config.settings().tenants()).containsExactly(new Balancer.Tenant("acme", 100));
        assertThat(config.connIdleUs()).isEqualTo(15_000_000);
        assertThat(config.known().path("version").asLong()).isEqualTo(41);
    }

    @Test
    void aListThatHasChangedWasHadInAnEarlierLife() throws Exception {
        ObjectNode json = Fixture.config();
        assertThat(Config.parse(json).isFirstLife()).isFalse();
        ((ObjectNode) json.get("known")).put("version", 0);
        assertThat(Config.parse(json).isFirstLife()).isTrue();
        json.remove("known");
        assertThat(Config.parse(json).isFirstLife()).isTrue();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name|''|'name': missing",
                "listen|'8080'|'listen': '8080' is no address and port",
                "discovery|'host:80'|'discovery': 'host:80' is no address and port",
                "seed|'xyz'|'seed': 'xyz' is no hexadecimal number of 64 bits",
                "limits|''|'limits.sockets': a number of at least 128 is wanted",
                "settings|'x'|'settings': an object is wanted"
            })
    void namesTheFieldThatIsWrong(String field, String value, String message) throws Exception {
        assertThatThrownBy(() -> Config.parse(Fixture.config().put(field, value)))
                .isInstanceOf(Config.BadConfig.class)
                .hasMessage(message);
    }

    @Test
    void namesTheSettingThatIsWrong() throws Exception {
        ObjectNode missing = Fixture.config();
        ((ObjectNode) missing.path("settings").path("bounds")).remove("conn_idle_us");
        assertThatThrownBy(() -> Config.parse(missing)).hasMessage("'settings': missing setting 'bounds.conn_idle_us'");
        ObjectNode wrong = Fixture.config();
        ((ObjectNode) wrong.path("settings").path("profiles").get(1)).put("effect", "sometimes");
        assertThatThrownBy(() -> Config.parse(wrong))
                .hasMessage("'settings': unknown value 'sometimes' in setting 'profiles.1.effect'");
    }

    /** Other proxies are left alone, whatever is told of them, unless the settings allow messages between them. */
    @Test
    void readsWhereOtherProxiesAreOnlyWhereTheSettingsAllowIt() throws Exception {
        ObjectNode json = Fixture.config().put("peer_listen", "127.0.0.1:7946");
        json.putArray("peers").add("no address");
        assertThat(Config.parse(json).peers()).isNull();
        ObjectNode bounds = (ObjectNode) json.path("settings").path("bounds");
        bounds.put("peer_messages", false);
        assertThat(Config.parse(json).peers()).isNull();
        bounds.put("peer_messages", true);
        assertThatThrownBy(() -> Config.parse(json)).hasMessage("'peers': 'no address' is no address and port");
        json.putArray("peers");
        assertThatThrownBy(() -> Config.parse(json)).hasMessage("'peers': 0 addresses, and this is proxy 0");
        json.putArray("peers").add("127.0.0.1:7946").add("127.0.0.1:7947");
        assertThat(Config.parse(json).peers().addresses())
                .extracting(a -> a.getPort())
                .containsExactly(7946, 7947);
        json.remove("peer_listen");
        assertThatThrownBy(() -> Config.parse(json)).hasMessage("'peer_listen': missing");
    }

    @Test
    void saysWhereAFileIsNoConfiguration(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        assertThatThrownBy(() -> Config.read(file))
                .isInstanceOf(Config.BadConfig.class)
                .hasMessageStartingWith("cannot be read");
        Files.writeString(file, "{");
        assertThatThrownBy(() -> Config.read(file))
                .isInstanceOf(Config.BadConfig.class)
                .hasMessageStartingWith("not JSON");
    }
}
