package grebehoist.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.thrift.ThriftBytes.Kind;
import org.apache.thrift.protocol.TMessageType;
import org.junit.jupiter.api.Test;

class ReplySizesTest {
    private final ReplySizes sizes = new ReplySizes(1 << 20);

    private static Message call(String name, byte type) throws BadFrame {
        return Message.read(ThriftBytes.buf(ThriftBytes.message(Kind.BINARY, type, name, 1, out -> {})));
    }

    @Test
    void itExpectsTheLargestOfLateForEachMethod() throws BadFrame {
        Message invoice = call("invoice", TMessageType.CALL);
        Message balance = call("balance", TMessageType.CALL);
        assertThat(sizes.expected(invoice)).isEqualTo(64 * 1024);
        sizes.replied(balance, 50);
        sizes.replied(invoice, 200_000);
        sizes.replied(invoice, 1_000);
        assertThat(sizes.expected(balance)).isEqualTo(50);
        assertThat(sizes.expected(invoice)).isBetween(180_000L, 200_000L);
        for (int i = 0; i < 200; i++) {
            sizes.replied(invoice, 1_000);
        }
        assertThat(sizes.expected(invoice)).isLessThan(1_100);
    }

    @Test
    void nothingComesBackForAOnewayCall() throws BadFrame {
        assertThat(sizes.expected(call("notify", TMessageType.ONEWAY))).isZero();
    }

    @Test
    void namesThatClientsMakeUpAreForgotten() throws BadFrame {
        sizes.replied(call("first", TMessageType.CALL), 50);
        for (int i = 0; i < 2_000; i++) {
            sizes.replied(call("made-up-" + i, TMessageType.CALL), 50);
        }
        assertThat(sizes.expected(call("first", TMessageType.CALL))).isEqualTo(64 * 1024);
    }
}
