package grebehoist.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import grebehoist.cli.Fixture;
import grebehoist.fleet.distribution.Answer;
import grebehoist.fleet.distribution.Call;
import grebehoist.fleet.distribution.Item;
import grebehoist.fleet.distribution.Lives;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls and answers: there and back, and all that is none. */
class CallJsonTest {
    private static final Item SET = new Item(7, "c1/billing", "naïve key", new byte[] {0, -1, 'x'}, 12);
    private static final Item GONE = new Item(1, "fleet", "s-1", null, 3);
    private static final String OFFER = "{\"call\":\"offer\",\"epoch\":5,\"machine\":1,"
            + "\"item\":{\"kind\":1,\"scope\":\"fleet\",\"key\":\"s-1\",\"version\":3,\"value\":\"\"}}";

    @Test
    void callsComeBackAsTheyWere() throws Exception {
        for (Call call : List.of(
                new Call.Create(2, "c1/billing", 40),
                new Call.Open(0, "fleet", 1_790_000_000_000L),
                new Call.Offer(1, 9, SET),
                new Call.Offer(1, 9, GONE),
                new Call.Taken(63, "fleet", 9, 4))) {
            assertThat(CallJson.call(Fixture.json(CallJson.json(call).toString())))
                    .isEqualTo(call);
        }
    }

    @Test
    void answersComeBackAsTheyWere() throws Exception {
        var lives = new Lives(Map.of(0, -5L, 12, Long.MAX_VALUE));
        for (Answer answer : List.of(
                new Answer.Opened(lives, 7, null, 0),
                new Answer.Opened(lives, 7, SET, 99),
                new Answer.Opened(lives, 7, GONE, 99),
                new Answer.Held(lives, 12, false),
                new Answer.Held(lives, 13, true),
                new Answer.Refusal("no such scope", -1, false),
                new Answer.Refusal("gap", 5, true))) {
            assertThat(CallJson.answer(Fixture.json(CallJson.json(answer).toString())))
                    .isEqualTo(answer);
        }
    }

    private static String flaw(String json) {
        CallJson.BadJson bad = catchThrowableOfType(CallJson.BadJson.class, () -> CallJson.call(Fixture.json(json)));
        assertThat(bad).as(json).isNotNull();
        return bad.getMessage();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"offer\"|\"offers\"|key 'call': 'offers' is none of create, open, offer, taken",
                "\"offer\"|7|key 'call': a text is wanted, not 7",
                "\"call\"|\"calls\"|key 'call': missing",
                "\"epoch\":5,||key 'epoch': missing",
                "\"epoch\":5|\"epoch\":-5|key 'epoch': a whole number from 0 to 9223372036854775807 is wanted, not -5",
                "\"epoch\":5|\"epoch\":5e3|key 'epoch': a whole number from 0 to 9223372036854775807 is wanted, not 5000.0",
                "\"epoch\":5|\"epoch\":99999999999999999999|key 'epoch': a whole number from 0 to 9223372036854775807 is wanted, not 99999999999999999999",
                "\"epoch\":5|\"epoch\":5,\"more\":1|key 'more': unknown",
                "\"machine\":1|\"machine\":\"1\"|key 'machine': a whole number from 0 to 2147483647 is wanted, not \"1\"",
                "\"kind\":1|\"kind\":256|key 'kind': a whole number from 0 to 255 is wanted, not 256",
                "\"kind\":1|\"kinds\":1|key 'kinds': unknown",
                "\"version\":3|\"version\":0|key 'version': a whole number from 1 to 9007199254740991 is wanted, not 0",
                "\"value\":\"\"|\"value\":\"%%%%\"|key 'value': base64 is wanted: Illegal base64 character 25",
                "\"value\":\"\"|\"value\":[]|key 'value': base64 is wanted, not []",
                "\"fleet\"|\"a scope with too long a name\"|key 'item': scope a scope with too long a name has 28 bytes: 1 to 24 are wanted",
                "\"fleet\"|\"\"|key 'scope': a text is wanted, not \"\"",
                "\"item\"|\"items\"|key 'items': unknown"
            })
    void saysWhatIsWrongAndWhere(String part, String other, String message) {
        assertThat(OFFER).contains(part);
        assertThat(flaw(OFFER.replace(part, other == null ? "" : other))).isEqualTo(message);
    }

    @Test
    void wantsAnObject() {
        assertThat(flaw("[]")).isEqualTo("a call: an object is wanted, not ARRAY");
        assertThat(flaw("{\"call\":\"offer\",\"epoch\":5,\"machine\":1,\"item\":3}"))
                .isEqualTo("key 'item': an object is wanted, not NUMBER");
        assertThat(flaw("{\"call\":\"offer\",\"epoch\":5,\"machine\":1}")).isEqualTo("key 'item': an object is wanted");
        assertThat(flaw("{\"call\":\"open\",\"epoch\":5,\"machine\":1,\"scope\":\"" + "x".repeat(25) + "\"}"))
                .startsWith("key 'scope': scope xxx");
        assertThat(flaw("{\"call\":\"open\",\"epoch\":5,\"machine\":1,\"scope\":\"a\",\"base\":0}"))
                .isEqualTo("key 'base': unknown");
    }

    @Test
    void anAnswerThatIsNoneIsNoAnswer() {
        for (String text : List.of(
                "{}",
                "3",
                "{\"answer\":\"maybe\"}",
                "{\"answer\":\"held\",\"version\":1,\"taken\":true}",
                "{\"answer\":\"held\",\"lives\":{},\"version\":1}",
                "{\"answer\":\"held\",\"lives\":{\"x\":1},\"version\":1,\"taken\":true}",
                "{\"answer\":\"opened\",\"lives\":{},\"head\":1,\"pending_epoch\":1,\"pending\":[]}",
                "{\"answer\":\"refusal\",\"head\":1,\"never\":true}",
                "{\"answer\":\"refusal\",\"why\":\"x\",\"head\":1}")) {
            assertThat(catchThrowableOfType(CallJson.BadJson.class, () -> CallJson.answer(Fixture.json(text))))
                    .as(text)
                    .isNotNull();
        }
    }
}
