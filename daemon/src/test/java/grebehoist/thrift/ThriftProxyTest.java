package grebehoist.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.ClientGone;
import beechfall.Balancer.Fail;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Refuse;
import beechfall.Balancer.Send;
import beechfall.Balancer.SetTimer;
import beechfall.Balancer.TimerFired;
import beechfall.Policy;
import grebehoist.cli.Fixture;
import grebehoist.thrift.ThriftBytes.Kind;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TMultiplexedProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Thrift clients and servers on either side of the proxy: libthrift's own, and ones that are played byte by byte. */
class ThriftProxyTest {
    private static final ThriftOptions IN_ORDER = ThriftFixture.options(false, 64);
    private static final ThriftOptions ANY_ORDER = ThriftFixture.options(true, 64);

    private static byte[] pay(Kind kind, int sequenceId, String id) {
        return ThriftBytes.message(
                kind, TMessageType.CALL, "pay", sequenceId, ThriftBytes.payment(id, "vestkraft", "k-" + id));
    }

    private static byte[] call(String name, int sequenceId) {
        return ThriftBytes.message(Kind.BINARY, TMessageType.CALL, name, sequenceId, out -> {});
    }

    /** A reply with a text as its result. */
    private static byte[] reply(Kind kind, String name, int sequenceId, String text) {
        return ThriftBytes.message(kind, TMessageType.REPLY, name, sequenceId, out -> {
            ThriftBytes.field(out, TType.STRING, 0);
            out.writeString(text);
        });
    }

    private static byte[] exception(Kind kind, String name, int sequenceId, int type) {
        return ThriftBytes.message(kind, TMessageType.EXCEPTION, name, sequenceId, out -> {
            ThriftBytes.field(out, TType.STRING, 1);
            out.writeString("no");
            ThriftBytes.field(out, TType.I32, 2);
            out.writeI32(type);
        });
    }

    private static Message head(byte[] frame) throws BadFrame {
        return Message.read(ThriftBytes.buf(frame));
    }

    /** The type and text of an exception that the proxy made. */
    private static String[] told(byte[] frame) throws BadFrame {
        var paths = new FieldPaths();
        paths.add("2");
        paths.add("1");
        assertThat(head(frame).type()).isEqualTo(Message.EXCEPTION);
        return StructWalk.walk(ThriftBytes.buf(frame), head(frame), paths);
    }

    private static String text(byte[] frame) throws BadFrame {
        var paths = new FieldPaths();
        paths.add("0");
        return StructWalk.walk(ThriftBytes.buf(frame), head(frame), paths)[0];
    }

    // libthrift on both sides

    /** A processor that sends the arguments back as field 0 of the result, and knows an exception and a oneway call. */
    private static final class Echo implements TProcessor {
        private final AtomicInteger oneways = new AtomicInteger();

        @Override
        public void process(TProtocol in, TProtocol out) throws TException {
            TMessage call = in.readMessageBegin();
            String name = call.name.substring(call.name.indexOf(':') + 1);
            in.readStructBegin();
            String text = "";
            for (TField f = in.readFieldBegin(); f.type != TType.STOP; f = in.readFieldBegin()) {
                if (f.id == 8 && f.type == TType.STRING) {
                    text = in.readString();
                } else {
                    TProtocolUtil.skip(in, f.type);
                }
                in.readFieldEnd();
            }
            in.readStructEnd();
            in.readMessageEnd();
            if (call.type == TMessageType.ONEWAY) {
                oneways.incrementAndGet();
                return;
            }
            out.writeMessageBegin(new TMessage(name, TMessageType.REPLY, call.seqid));
            out.writeStructBegin(new TStruct("result"));
            ThriftBytes.field(out, TType.STRING, name.equals("readThrows") ? 1 : 0);
            out.writeString(text);
            out.writeFieldStop();
            out.writeStructEnd();
            out.writeMessageEnd();
            out.getTransport().flush();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void realClientsAndServersWorkThroughIt(boolean compact) throws Exception {
        TProtocolFactory factory = compact ? new TCompactProtocol.Factory() : new TBinaryProtocol.Factory();
        var socket = new TServerSocket(new InetSocketAddress("127.0.0.1", 0));
        int port = socket.getServerSocket().getLocalPort();
        var echo = new Echo();
        var server = new TThreadPoolServer(new TThreadPoolServer.Args(socket)
                .processor(echo)
                .protocolFactory(factory)
                .transportFactory(new TFramedTransport.Factory())
                .minWorkerThreads(1));
        var thread = new Thread(server::serve);
        thread.start();
        try (var proxy = new ThriftFixture(Policy::new, IN_ORDER, new InetSocketAddress("127.0.0.1", port));
                var transport = new TFramedTransport(new TSocket("127.0.0.1", proxy.address.getPort(), 10_000))) {
            transport.open();
            TProtocol plain = factory.getProtocol(transport);
            for (int i = 1; i <= 20; i++) {
                TProtocol protocol = i % 2 == 0 ? new TMultiplexedProtocol(plain, "Billing") : plain;
                String name = i % 5 == 0 ? "readThrows" : "readAll";
                protocol.writeMessageBegin(new TMessage(name, TMessageType.CALL, i));
                protocol.writeStructBegin(new TStruct("args"));
                ThriftBytes.everything(protocol);
                protocol.writeFieldStop();
                protocol.writeStructEnd();
                protocol.writeMessageEnd();
                transport.flush();
                TMessage reply = plain.readMessageBegin();
                assertThat(reply.type).isEqualTo(TMessageType.REPLY);
                assertThat(reply.seqid).isEqualTo(i);
                assertThat(reply.name).isEqualTo(name);
                plain.readStructBegin();
                TField result = plain.readFieldBegin();
                assertThat(result.id).isEqualTo((short) (name.equals("readThrows") ? 1 : 0));
                assertThat(plain.readString()).isEqualTo("blåbær");
                plain.readFieldEnd();
                assertThat(plain.readFieldBegin().type).isEqualTo(TType.STOP);
                plain.readStructEnd();
                plain.readMessageEnd();
            }
            plain.writeMessageBegin(new TMessage("readOnce", TMessageType.ONEWAY, 21));
            plain.writeStructBegin(new TStruct("args"));
            plain.writeFieldStop();
            plain.writeStructEnd();
            plain.writeMessageEnd();
            transport.flush();
            // What libthrift makes of a call that the proxy turns away: the next reply is to this one, not to the
            // oneway call.
            plain.writeMessageBegin(new TMessage("unknown", TMessageType.CALL, 22));
            plain.writeStructBegin(new TStruct("args"));
            plain.writeFieldStop();
            plain.writeStructEnd();
            plain.writeMessageEnd();
            transport.flush();
            TMessage reply = plain.readMessageBegin();
            assertThat(reply.type).isEqualTo(TMessageType.EXCEPTION);
            assertThat(reply.seqid).isEqualTo(22);
            var why = new TApplicationException();
            why.read(plain);
            assertThat(why.getType()).isEqualTo(TApplicationException.UNKNOWN_METHOD);
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (echo.oneways.get() == 0 && System.nanoTime() - until < 0) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
            assertThat(echo.oneways).hasValue(1);
        } finally {
            server.stop();
            thread.join(10_000);
        }
    }

    // Byte by byte

    @ParameterizedTest
    @EnumSource(Kind.class)
    void allBytesPassButTheSequenceId(Kind kind) throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address)) {
            byte[] sent = pay(kind, 4711, "r1");
            client.send(sent);
            try (var attempt = FrameWire.accept(backend)) {
                byte[] came = attempt.read();
                int own = head(came).sequenceId();
                assertThat(came).isEqualTo(pay(kind, own, "r1"));
                Arrival arrival = proxy.next(Arrival.class);
                assertThat(arrival.id()).isEqualTo("r1");
                assertThat(arrival.requestClass()).isEqualTo("pay");
                assertThat(arrival.tenant()).isEqualTo("vestkraft");
                assertThat(arrival.key()).isEqualTo("-123456789012");
                assertThat(arrival.leftUs()).isBetween(1_000_000L, 1_900_000L);
                attempt.send(reply(kind, "pay", own, "done"));
                assertThat(client.read()).isEqualTo(reply(kind, "pay", 4711, "done"));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0,ERROR",
        "1,FULL",
        "2,FULL",
        "3,FULL",
        "4,ERROR",
        "5,ERROR",
        "6,ERROR",
        "7,FULL",
        "8,FULL",
        "9,FULL",
        "10,FULL",
        "99,ERROR"
    })
    void tellsOutcomesByTheTypeOfTheException(int type, Outcome outcome) throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address)) {
            client.send(pay(Kind.COMPACT, 1, "r1"));
            try (var attempt = FrameWire.accept(backend)) {
                attempt.send(exception(Kind.COMPACT, "pay", head(attempt.read()).sequenceId(), type));
                assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(outcome);
                assertThat(told(client.read())).containsExactly("6", Replies.FAILED);
            }
        }
    }

    /** Something came back, so it may have run; and nothing that follows on that connection is taken for a reply. */
    @ParameterizedTest
    @ValueSource(strings = {"id", "name", "protocol", "call", "cut", "noise", "twice", "length"})
    void aSpoiltReplyMayHaveRunAndEndsItsConnection(String how) throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address)) {
            client.send(pay(Kind.BINARY, 1, "r1"));
            try (var attempt = FrameWire.accept(backend)) {
                int id = head(attempt.read()).sequenceId();
                byte[] good = reply(Kind.BINARY, "pay", id, "done");
                switch (how) {
                    case "id" -> attempt.send(reply(Kind.BINARY, "pay", id - 1, "done"));
                    case "name" -> attempt.send(reply(Kind.BINARY, "pray", id, "done"));
                    case "protocol" -> attempt.send(reply(Kind.COMPACT, "pay", id, "done"));
                    case "call" -> attempt.send(pay(Kind.BINARY, id, "r1"));
                    case "cut" -> attempt.send(Arrays.copyOf(good, good.length - 1));
                    case "noise" ->
                        attempt.raw("HTTP/1.1 200 OK\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
                    case "length" -> attempt.raw((byte) 0x80, (byte) 0, (byte) 0, (byte) 1);
                    default -> {
                        byte[] both = new byte[2 * (4 + good.length)];
                        for (int i = 0; i < 2; i++) {
                            both[i * (4 + good.length) + 3] = (byte) good.length;
                            System.arraycopy(good, 0, both, i * (4 + good.length) + 4, good.length);
                        }
                        attempt.raw(both);
                    }
                }
                boolean served = how.equals("twice");
                assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(served ? Outcome.OK : Outcome.ERROR);
                byte[] answer = client.read();
                if (served) {
                    assertThat(text(answer)).isEqualTo("done");
                } else {
                    assertThat(told(answer)).containsExactly("6", Replies.FAILED);
                }
                assertThat(attempt.read()).isNull();
            }
        }
    }

    @Test
    void aReplyCutOffAtAnyByteMayHaveRun() throws Exception {
        byte[] good = reply(Kind.COMPACT, "pay", 1, "ok");
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address)) {
            for (int bytes = 0; bytes < 4 + good.length; bytes++) {
                client.send(pay(Kind.COMPACT, bytes, "r" + bytes));
                try (var attempt = FrameWire.accept(backend)) {
                    attempt.read();
                    byte[] framed = new byte[4 + good.length];
                    framed[3] = (byte) good.length;
                    System.arraycopy(good, 0, framed, 4, good.length);
                    attempt.raw(Arrays.copyOf(framed, bytes));
                }
                assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
                assertThat(told(client.read())).containsExactly("6", Replies.FAILED);
            }
        }
    }

    /** A call cut off at any byte was never asked: nothing of it reaches the module or a backend. */
    @Test
    void aCallCutOffAtAnyByteIsNone() throws Exception {
        byte[] call = pay(Kind.BINARY, 1, "r1");
        byte[] framed = new byte[4 + call.length];
        framed[3] = (byte) call.length;
        System.arraycopy(call, 0, framed, 4, call.length);
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend))) {
            for (int bytes = 0; bytes < framed.length; bytes++) {
                try (var client = FrameWire.to(proxy.address)) {
                    client.raw(Arrays.copyOf(framed, bytes));
                }
            }
            try (var client = FrameWire.to(proxy.address)) {
                client.send(pay(Kind.BINARY, 1, "last"));
                assertThat(proxy.next(Arrival.class).id()).isEqualTo("last");
            }
        }
    }

    /** Guards against review case 3 over Thrift: where places ran short, half-read calls were cut off with no reply. */
    @Test
    void aCallInTwoPiecesIsAnsweredWhileIdleClientsCrowd() throws Exception {
        byte[] call = FrameWire.framed(pay(Kind.COMPACT, 1, "r1"));
        var crowd = new ArrayList<FrameWire>();
        // So many descriptors are places for 40 clients, and 32 that wait.
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, 128, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address).raw(Arrays.copyOf(call, 10))) {
            for (int i = 0; i < 72; i++) {
                crowd.add(FrameWire.to(proxy.address));
            }
            assertThat(crowd.get(0).read())
                    .as("the oldest that rests is given up")
                    .isNull();
            client.raw(Arrays.copyOfRange(call, 10, call.length));
            try (var attempt = FrameWire.accept(backend)) {
                int own = head(attempt.read()).sequenceId();
                attempt.send(reply(Kind.COMPACT, "pay", own, "done"));
                assertThat(client.read()).isEqualTo(reply(Kind.COMPACT, "pay", 1, "done"));
            }
        } finally {
            for (FrameWire wire : crowd) {
                wire.close();
            }
        }
    }

    @Test
    void refusalsAndFailuresCanBeToldApart() throws Exception {
        try (var proxy = new ThriftFixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(
                                        a.requestClass().equals("pay")
                                                ? new Fail(a.id())
                                                : new Refuse(a.id(), 1_234_000));
                            }
                        },
                        IN_ORDER);
                var client = FrameWire.to(proxy.address)) {
            assertThat(told(client.send(call("readX", 1)).read()))
                    .containsExactly("0", Replies.REFUSED + "; retry_after_ms=1234");
            assertThat(told(client.send(pay(Kind.COMPACT, 2, "r")).read())).containsExactly("6", Replies.FAILED);
            byte[] declared = client.send(call("declared", 3)).read();
            var paths = new FieldPaths();
            paths.add("2.1");
            paths.add("2.3");
            assertThat(head(declared).type()).isEqualTo(Message.REPLY);
            assertThat(StructWalk.walk(ThriftBytes.buf(declared), head(declared), paths))
                    .containsExactly(Replies.REFUSED + "; retry_after_ms=1234", "1234");
        }
    }

    @ParameterizedTest
    @CsvSource({"unknown,1,unknown method unknown"})
    void whatCannotBePassedOnIsTold(String name, String type, String why) throws Exception {
        try (var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER);
                var client = FrameWire.to(proxy.address)) {
            assertThat(told(client.send(call(name, 1)).read())).containsExactly(type, why);
            byte[] noKey = ThriftBytes.message(
                    Kind.BINARY, TMessageType.CALL, "pay", 2, ThriftBytes.payment("r", "vestkraft", null));
            assertThat(told(client.send(noKey).read())).containsExactly("7", "missing key");
            byte[] noTenant = ThriftBytes.message(
                    Kind.BINARY, TMessageType.CALL, "pay", 3, ThriftBytes.payment("r", "nobody", "k"));
            assertThat(told(client.send(noTenant).read())).containsExactly("7", "unknown tenant nobody");
            assertThat(proxy.events).noneMatch(e -> e instanceof Arrival);
        }
    }

    /** Replies go back in the order of the calls, or as they come where that is allowed; the same id never out of order. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void manyCallsAreOpenOnOneConnection(boolean anyOrder) throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(
                        Fixture.sendTo("s0"), anyOrder ? ANY_ORDER : IN_ORDER, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address)) {
            client.send(call("readA", 7)).send(call("readB", 8)).send(call("readC", 7));
            FrameWire[] attempts = new FrameWire[3];
            for (int i = 0; i < 3; i++) {
                var attempt = FrameWire.accept(backend);
                byte[] came = attempt.read();
                int which = head(came).name().charAt(4) - 'A';
                attempts[which] = attempt;
                if (which > 0) {
                    attempt.send(
                            reply(Kind.BINARY, head(came).name(), head(came).sequenceId(), "r" + which));
                }
            }
            if (anyOrder) {
                assertThat(text(client.read())).isEqualTo("r1");
            }
            assertThat(client.quietFor(50)).isTrue();
            attempts[0].send(reply(Kind.BINARY, "readA", 1, "r0"));
            String[] order = anyOrder ? new String[] {"r0", "r2"} : new String[] {"r0", "r1", "r2"};
            for (String next : order) {
                assertThat(text(client.read())).isEqualTo(next);
            }
            for (FrameWire attempt : attempts) {
                attempt.close();
            }
        }
    }

    /** Past the bound nothing is read, and nothing is dropped. */
    @Test
    void readingStopsWhereTooManyCallsAreOpen() throws Exception {
        try (var proxy = new ThriftFixture(
                        settings -> (now, event, actions) -> {
                            if (event instanceof Arrival a && a.requestClass().equals("read")) {
                                actions.accept(new SetTimer(now + 400 * ThriftFixture.MS, a.id()));
                            } else if (event instanceof TimerFired t) {
                                actions.accept(new Fail(t.token()));
                            }
                        },
                        ThriftFixture.options(false, 2));
                var client = FrameWire.to(proxy.address)) {
            byte[] quick = ThriftBytes.message(
                    Kind.BINARY, TMessageType.CALL, "pay", 1, ThriftBytes.payment("x", "vestkraft", "k"));
            client.send(call("readA", 1));
            proxy.next(Arrival.class);
            client.send(call("readB", 2));
            proxy.next(Arrival.class);
            client.send(quick);
            assertThat(client.quietFor(100)).isTrue();
            assertThat(proxy.events).noneMatch(e -> e instanceof Arrival);
            // The first two are answered, and the third is read.
            assertThat(told(client.read())).containsExactly("6", Replies.FAILED);
            assertThat(told(client.read())).containsExactly("6", Replies.FAILED);
            assertThat(proxy.next(Arrival.class).id()).isEqualTo("x");
        }
    }

    /** A call that waits in the socket, as no more are read, has its time all the same. */
    @Test
    void timeUnreadIsTheClientsTime() throws Exception {
        try (ServerSocket server = FrameWire.backend();
                var proxy = new ThriftFixture(Policy::new, ThriftFixture.options(false, 1), FrameWire.at(server));
                FrameWire client = FrameWire.to(proxy.address)) {
            client.send(pay(Kind.BINARY, 1, "r1"));
            FrameWire backend = FrameWire.accept(server);
            byte[] first = backend.read();
            client.send(pay(Kind.BINARY, 2, "r2"));
            long sent = System.nanoTime();
            assertThat(backend.quietFor(150)).isTrue();
            long unread = (System.nanoTime() - sent) / 1_000;
            backend.send(reply(Kind.BINARY, "pay", head(first).sequenceId(), "one"));
            Arrival one = proxy.next(Arrival.class);
            Arrival two = proxy.next(Arrival.class);
            assertThat(two.id()).isEqualTo("r2");
            assertThat(two.leftUs())
                    .isLessThanOrEqualTo(one.leftUs() - unread + 50 * ThriftFixture.MS)
                    .isPositive();
        }
    }

    /** Nobody answers a oneway call, so no reply waits for one that waits for a backend. */
    @Test
    void repliesDoNotWaitBehindOnewayCalls() throws Exception {
        try (ServerSocket server = FrameWire.backend();
                var proxy = new ThriftFixture(
                        (event, out) -> {
                            if (event instanceof Arrival a && a.requestClass().equals("read")) {
                                out.accept(new Refuse(a.id(), 0));
                            }
                        },
                        IN_ORDER,
                        FrameWire.at(server));
                FrameWire client = FrameWire.to(proxy.address)) {
            client.send(ThriftBytes.message(
                    Kind.BINARY, TMessageType.ONEWAY, "pay", 1, ThriftBytes.payment("r1", "vestkraft", "k")));
            client.send(call("read", 2));
            assertThat(told(client.read())[1]).startsWith("refused");
        }
    }

    /**
     * Guards against issue 74, 2: a oneway call whose sequence id was in use by an open call stayed open with it, and held one of the
     * places of its connection, so that calls behind it were read too late.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aOnewayCallHoldsNoPlaceForACallOfTheSameSequenceId(boolean outOfOrder) throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(
                        Fixture.sendTo("s0"), ThriftFixture.options(outOfOrder, 2), FrameWire.at(backend));
                FrameWire client = FrameWire.to(proxy.address)) {
            client.send(call("readA", 1));
            try (FrameWire first = FrameWire.accept(backend)) {
                assertThat(head(first.read()).name()).isEqualTo("readA");
                client.send(ThriftBytes.message(
                        Kind.BINARY, TMessageType.ONEWAY, "pay", 1, ThriftBytes.payment("o1", "vestkraft", "k")));
                try (FrameWire second = FrameWire.accept(backend)) {
                    assertThat(head(second.read()).type()).isEqualTo(Message.ONEWAY);
                }
                client.send(call("readB", 2));
                try (FrameWire third = FrameWire.accept(backend)) {
                    assertThat(head(third.read()).name()).isEqualTo("readB");
                }
            }
        }
    }

    @Test
    void aClientThatHangsUpIsGoneForEachOfItsCalls() throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend))) {
            try (var client = FrameWire.to(proxy.address)) {
                client.send(pay(Kind.BINARY, 1, "a")).send(pay(Kind.BINARY, 1, "b"));
                FrameWire.accept(backend).read();
                FrameWire.accept(backend).read();
            }
            assertThat(proxy.next(ClientGone.class).id()).isEqualTo("a");
            assertThat(proxy.next(ClientGone.class).id()).isEqualTo("b");
        }
    }

    /** Written, it counts as answered and may have run; never reached, it may be tried again like any other. */
    @Test
    void aOnewayCallIsAnsweredByBeingWritten() throws Exception {
        byte[] oneway = ThriftBytes.message(
                Kind.COMPACT, TMessageType.ONEWAY, "pay", 5, ThriftBytes.payment("o1", "vestkraft", "k"));
        var dead = FrameWire.backend();
        InetSocketAddress nowhere = FrameWire.at(dead);
        dead.close();
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Send(a.id(), "s0", 0));
                            } else if (event instanceof AttemptEnded e && e.outcome() == Outcome.CONNECT_FAILED) {
                                actions.accept(new Send(e.id(), "s1", 0));
                            }
                        },
                        IN_ORDER,
                        nowhere,
                        FrameWire.at(backend));
                var client = FrameWire.to(proxy.address)) {
            client.send(oneway);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.CONNECT_FAILED);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.OK);
            try (var attempt = FrameWire.accept(backend)) {
                assertThat(head(attempt.read()).type()).isEqualTo(Message.ONEWAY);
                // Its connection is for nobody else.
                assertThat(attempt.read()).isNull();
            }
            assertThat(client.quietFor(50)).isTrue();
        }
    }

    /** What can't be read ends the connection, and the calls before it still have their replies. */
    @Test
    void rubbishEndsAConnectionOnceTheCallsBeforeItAreAnswered() throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address)) {
            client.send(call("readA", 1))
                    .raw("GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            try (var attempt = FrameWire.accept(backend)) {
                byte[] came = attempt.read();
                attempt.send(reply(Kind.BINARY, "readA", head(came).sequenceId(), "ok"));
                assertThat(text(client.read())).isEqualTo("ok");
                assertThat(client.read()).isNull();
            }
        }
    }

    /** Arguments that can't be read: the client is told, and its connection ends. */
    @Test
    void aCallWhoseArgumentsCannotBeReadIsTold() throws Exception {
        byte[] good = pay(Kind.BINARY, 3, "r1");
        try (var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER);
                var client = FrameWire.to(proxy.address)) {
            client.send(Arrays.copyOf(good, good.length - 1));
            assertThat(told(client.read())).containsExactly("7", "cut short");
            assertThat(client.read()).isNull();
        }
    }

    /** Half a frame is cut off in the time in which half an HTTP request is. */
    @Test
    void halfAFrameIsCutOff() throws Exception {
        try (var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER);
                var client = FrameWire.to(proxy.address)) {
            client.raw((byte) 0, (byte) 0, (byte) 1, (byte) 0, (byte) 0x80, (byte) 1);
            assertThat(client.read()).isNull();
        }
    }

    /** A good client whose reads always end in mid-frame: each call is as old as its own last byte, and the connection stays. */
    @Test
    void aClientThatSplitsItsCallsIsServedOn() throws Exception {
        try (var proxy = new ThriftFixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Refuse(a.id(), 0));
                            }
                        },
                        IN_ORDER);
                var client = FrameWire.to(proxy.address)) {
            byte[] frame = FrameWire.framed(call("readA", 1));
            int half = frame.length / 2;
            client.raw(Arrays.copyOf(frame, half));
            byte[] across = Arrays.copyOf(Arrays.copyOfRange(frame, half, frame.length), frame.length);
            System.arraycopy(frame, 0, across, frame.length - half, half);
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2_600);
            while (System.nanoTime() - until < 0) {
                Thread.sleep(50);
                client.raw(across);
                assertThat(proxy.next(Arrival.class).leftUs()).isGreaterThan(1_000_000);
                assertThat(head(client.read()).type()).isEqualTo(Message.EXCEPTION);
            }
        }
    }

    /** Whoever began first is cut off, with a reply to what it had asked before; all that they held is let go. */
    @Test
    void halfFramesTakeNoMoreMemoryThanTheyMay() throws Exception {
        var clients = new ArrayList<FrameWire>();
        byte[] half = Arrays.copyOf(new byte[] {0, 0, (byte) 0xFF, (byte) 0xFF, (byte) 0x80, 1, 0, 1}, 40_000);
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(
                        Fixture.sendTo("s0"), ThriftFixture.options(false, 64, 1 << 20), FrameWire.at(backend))) {
            try {
                for (int i = 0; i < 100; i++) {
                    FrameWire client = FrameWire.to(proxy.address);
                    clients.add(client);
                    if (i == 0) {
                        client.send(call("readA", 7));
                    }
                    client.raw(half);
                    proxy.on(() -> assertThat(proxy.front.bytesHalf()).isLessThanOrEqualTo(1 << 20));
                }
                FrameWire attempt = FrameWire.accept(backend);
                attempt.send(reply(Kind.BINARY, "readA", head(attempt.read()).sequenceId(), "ok"));
                assertThat(text(clients.get(0).read())).isEqualTo("ok");
                assertThat(clients.get(0).read()).isNull();
                assertThat(clients.get(1).read()).isNull();
            } finally {
                for (FrameWire client : clients) {
                    client.close();
                }
            }
            proxy.awaitOn(() -> proxy.front.bytesHalf() == 0);
        }
    }

    /** An answer's order: a drain closes the connection when nothing more is open on it. */
    @Test
    void aDrainEndsConnectionsAfterTheirReplies() throws Exception {
        try (ServerSocket backend = FrameWire.backend();
                var proxy = new ThriftFixture(Fixture.sendTo("s0"), IN_ORDER, FrameWire.at(backend));
                var client = FrameWire.to(proxy.address);
                var idle = FrameWire.to(proxy.address)) {
            client.send(call("readA", 1));
            try (var attempt = FrameWire.accept(backend)) {
                byte[] came = attempt.read();
                proxy.on(proxy.front::closeAfterAnswers);
                proxy.on(proxy.front::stopListening);
                assertThat(idle.read()).isNull();
                proxy.awaitOn(() -> proxy.front.answering() == 1);
                attempt.send(reply(Kind.BINARY, "readA", head(came).sequenceId(), "ok"));
                assertThat(text(client.read())).isEqualTo("ok");
                assertThat(client.read()).isNull();
                proxy.awaitOn(() -> proxy.front.answering() == 0);
            }
        }
    }
}
