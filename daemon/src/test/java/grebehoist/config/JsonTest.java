package grebehoist.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import grebehoist.cli.Fixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The mapper tells what a document means; the reader differs from it in what it costs alone. */
class JsonTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":{\"b\":[1,-2.5,\"x\\u00e9\",true,false,null,{},[]]},\"a2\":9007199254740993}",
                "[]",
                "\"s\"",
                "7",
                "1e3",
                "123456789012345678901234567890",
                "null",
                "",
                "  ",
                "{\"a\":1,\"a\":2}"
            })
    void readsWhatTheMapperReads(String text) throws Exception {
        // As text: an int and a long of the same value are different nodes.
        assertThat(Fixture.json(text).toString())
                .isEqualTo(new ObjectMapper().readTree(text).toString());
        assertThat(Fixture.json(text).getNodeType())
                .isEqualTo(new ObjectMapper().readTree(text).getNodeType());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "[1", "{\"a\"}", "{\"a\":}", "]", "}", "nul", "[1,]", "{\"a\":1", "not JSON"})
    void refusesWhatIsBroken(String text) {
        assertThatThrownBy(() -> Fixture.json(text)).isInstanceOf(JsonProcessingException.class);
    }

    @Test
    void nestsOnlySoDeep() {
        assertThatThrownBy(() -> Fixture.json("[".repeat(100_000))).isInstanceOf(JsonProcessingException.class);
    }
}
