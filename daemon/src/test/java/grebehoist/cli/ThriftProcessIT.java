package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import grebehoist.testkit.ReservedAddress;
import grebehoist.testkit.Rig;
import grebehoist.testkit.StandInBackend.Act;
import grebehoist.testkit.ThriftWire;
import grebehoist.testkit.Witness;
import grebehoist.testkit.Witness.Count;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Thrift through a whole process: the operators' example, and the four rules on sockets while backends fail. */
@Timeout(120)
class ThriftProcessIT {
    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass("read", 600 * MS, 2 * S, 1, 0, Effect.SAFE, Scope.ALL, 0),
            new RequestClass("invoice", 600 * MS, 2_500 * MS, 2, 0, Effect.KEYED, Scope.ZONE, 12 * S),
            new RequestClass("pay", 400 * MS, 2 * S, 10, 0, Effect.KEYED, Scope.ZONE, 1_200 * MS),
            new RequestClass("vote", 600 * MS, 2 * S, 3, 0, Effect.UNSAFE, Scope.ALL, 0));
    private static final Balancer.Settings SETTINGS = new Balancer.Settings(
            1,
            0,
            "u",
            4 * MS,
            CLASSES,
            List.of(),
            0.05,
            false,
            new Balancer.Limits(true, false, false, true, 4, 2 * S),
            new Balancer.Rules(0.4, 8 * S, 4, S, 10 * S, false),
            1);

    /** Answers each call with its name, or with the text of field 1 where there is one. */
    private static final TProcessor ECHO = (in, out) -> {
        TMessage call = in.readMessageBegin();
        in.readStructBegin();
        String text = call.name;
        for (TField f = in.readFieldBegin(); f.type != TType.STOP; f = in.readFieldBegin()) {
            if (f.id == 1 && f.type == TType.STRING) {
                text = in.readString();
            } else {
                TProtocolUtil.skip(in, f.type);
            }
        }
        in.readStructEnd();
        in.readMessageEnd();
        out.writeMessageBegin(new TMessage(call.name, TMessageType.REPLY, call.seqid));
        out.writeStructBegin(new TStruct("result"));
        out.writeFieldBegin(new TField("success", TType.STRING, (short) 0));
        out.writeString(text);
        out.writeFieldStop();
        out.writeMessageEnd();
        out.getTransport().flush();
    };

    private interface Arguments {
        void write(TProtocol out) throws org.apache.thrift.TException;
    }

    private static void text(TProtocol out, int id, String value) throws org.apache.thrift.TException {
        out.writeFieldBegin(new TField("", TType.STRING, (short) id));
        out.writeString(value);
    }

    private static String ask(TProtocol client, String method, int id, Arguments arguments)
            throws org.apache.thrift.TException {
        client.writeMessageBegin(new TMessage(method, TMessageType.CALL, id));
        client.writeStructBegin(new TStruct("args"));
        arguments.write(client);
        client.writeFieldStop();
        client.writeMessageEnd();
        client.getTransport().flush();
        TMessage head = client.readMessageBegin();
        assertThat(head.seqid).isEqualTo(id);
        if (head.type == TMessageType.EXCEPTION) {
            TApplicationException told = TApplicationException.readFrom(client);
            client.readMessageEnd();
            return told.getType() + " " + told.getMessage();
        }
        client.readStructBegin();
        assertThat(client.readFieldBegin().id).isZero();
        String answer = client.readString();
        assertThat(client.readFieldBegin().type).isEqualTo(TType.STOP);
        client.readMessageEnd();
        return answer;
    }

    /** The example of the operators' page, with no more changed than its addresses. */
    @Test
    void theExampleOfTheOperatorsPageRuns() throws Exception {
        Path file = Files.createTempFile("thrift", ".toml");
        var socket = new TServerSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        var server = new TThreadPoolServer(new TThreadPoolServer.Args(socket)
                .processor(ECHO)
                .protocolFactory(new TBinaryProtocol.Factory())
                .transportFactory(new TFramedTransport.Factory()));
        var thread = new Thread(server::serve);
        thread.start();
        try (var platform = new Peer();
                var discovery = new Peer();
                var proxy = new ProxyProcess("n0", SETTINGS)) {
            String list = "{\"version\":41,\"full\":true,\"servers\":["
                    + Fixture.entry(
                            "s0", "127.0.0.1:" + socket.getServerSocket().getLocalPort(), "ready") + "]}";
            platform.always(Peer.ok(list));
            discovery.always(Peer.ok(list));
            InetSocketAddress address = ReservedAddress.next();
            String example = Files.readString(Path.of("../deploy/thrift-example.toml"));
            assertThat(example).contains("127.0.0.1:8502").contains("127.0.0.1:9090");
            Files.writeString(
                    file,
                    example.replace("127.0.0.1:8502", "127.0.0.1:" + discovery.port())
                            .replace("127.0.0.1:9090", "127.0.0.1:" + address.getPort()));
            proxy.configure(new InetSocketAddress(InetAddress.getLoopbackAddress(), platform.port()), list)
                    .start("--installation", file.toString())
                    .awaitReady();
            try (var transport = new TFramedTransport(new TSocket("127.0.0.1", address.getPort(), 10_000))) {
                transport.open();
                var binary = new TBinaryProtocol(transport);
                Arguments payment = out -> {
                    text(out, 1, "request-1");
                    out.writeFieldBegin(new TField("", TType.STRUCT, (short) 2));
                    text(out, 1, "vestkraft");
                    text(out, 3, "key-1");
                    out.writeFieldStop();
                    out.writeFieldBegin(new TField("", TType.I32, (short) 4));
                    out.writeI32(1_900);
                };
                // The pool may not have heard of its backends yet: a refusal is what it says until then.
                String answer = ask(binary, "postPayment", 1, payment);
                for (int i = 2; answer.startsWith("0 refused"); i++) {
                    answer = ask(binary, "postPayment", i, payment);
                }
                assertThat(answer).isEqualTo("request-1");
                assertThat(ask(binary, "Balances:all", 900, out -> text(out, 1, "account-7")))
                        .isEqualTo("account-7");
                assertThat(ask(binary, "Balances:count", 901, out -> {})).isEqualTo("Balances:count");
                assertThat(ask(binary, "postPayment", 902, out -> text(out, 1, "request-2")))
                        .startsWith("7 unknown tenant");
                assertThat(ask(binary, "deleteAll", 903, out -> {})).isEqualTo("1 unknown method deleteAll");
            }
        } finally {
            server.stop();
            thread.join();
            Files.delete(file);
        }
    }

    private static String installation(InetSocketAddress discovery, InetSocketAddress address) {
        String methods = CLASSES.stream()
                .map(c -> """
                [[thrift.method]]
                name = "%1$s*"
                class = "%1$s"
                request_id = "1"
                about = "2.2"
                timeout_ms = "4"
                retried = "5"
                %2$s
                """.formatted(c.name(), c.effect() == Effect.KEYED ? "key = \"2.3\"" : ""))
                .collect(Collectors.joining());
        return InstallationText.pool("billing", discovery).replace("\"http\"", "\"thrift\"") + methods
                + InstallationText.listener("billing-in", address, "billing").replace("\"http\"", "\"thrift\"")
                + "out_of_order = true\n";
    }

    /** Several calls open on each connection, oneway ones among them, while backends hang, break off, crash and drain. */
    @Test
    void keepsTheRulesOnSocketsWhileBackendsFail() throws Exception {
        Path file = Files.createTempFile("thrift", ".toml");
        try (var rig = new Rig(
                        new ThriftWire(ThriftWire.Kind.BOTH, 4, 64, false),
                        SETTINGS,
                        new double[] {0.45, 0.3, 0.15, 0.1},
                        15 * S,
                        42);
                var proxy = new ProxyProcess("n0", SETTINGS)) {
            rig.machines(5);
            InetSocketAddress address = ReservedAddress.next();
            Files.writeString(file, installation(rig.discoveryOfNextProxy(), address));
            rig.proxyAt(address);
            proxy.configure(rig.discoveryOfNextProxy(), rig.on(rig.discovery()::known))
                    .start("--installation", file.toString())
                    .awaitReady();
            rig.run(() -> rig.traffic().oneway(0.1));
            rig.load(3, 60 * S);
            rig.awaitServed(200);
            for (Act act : List.of(Act.HALF, Act.RESET_LATE, Act.TWICE, Act.NOISE, Act.NEVER_RAN, Act.VANISH)) {
                rig.run(() -> rig.fleet().staying().get(0).backend().act(act));
                rig.awaitServed(60);
            }
            rig.run(() -> rig.fleet().staying().get(0).backend().act(Act.SERVE));
            rig.run(() -> rig.fleet().staying().get(1).crash(rig.now() + 300 * MS));
            rig.run(() -> rig.fleet().staying().get(2).leave(rig.now() + 500 * MS, true));
            rig.awaitServed(300);
            Witness witness = rig.finish();
            String verdict = rig.on(witness::verdict);
            System.out.println("Thrift on sockets: " + verdict);
            assertThat(rig.on(witness::violations)).as(verdict).isEmpty();
            assertThat(rig.on(() -> witness.count(Count.ONEWAY))).isPositive();
            assertThat(rig.on(() -> witness.count(Count.TOLD))).isPositive();
        } finally {
            Files.delete(file);
        }
    }

    /** Reads calls and answers none of them; keeps when each came, and its connections. */
    private static void hang(Peer backend, List<Long> cameNs, List<Wire> connections) {
        Peer.background(() -> {
            while (true) {
                Wire wire = backend.accept();
                connections.add(wire);
                Peer.background(() -> {
                    var in = new DataInputStream(wire.socket.getInputStream());
                    while (true) {
                        in.readNBytes(in.readInt());
                        cameNs.add(System.nanoTime());
                    }
                });
            }
        });
    }

    private static void send(TProtocol client, int id) throws org.apache.thrift.TException {
        client.writeMessageBegin(new TMessage("read", TMessageType.CALL, id));
        client.writeStructBegin(new TStruct("args"));
        text(client, 1, "call-" + id);
        client.writeFieldBegin(new TField("", TType.STRUCT, (short) 2));
        text(client, 2, "account-" + id);
        client.writeFieldStop();
        client.writeFieldBegin(new TField("", TType.I32, (short) 4));
        client.writeI32(2_000);
        client.writeFieldStop();
        client.writeMessageEnd();
        client.getTransport().flush();
    }

    /** Past its open calls a connection is not read: that its client has left shows only to who looks. */
    @Test
    void aClientThatLeftWithAsManyCallsOpenAsAreReadIsNotSentOn() throws Exception {
        int open = 4;
        long leaveGraceNs = TimeUnit.MILLISECONDS.toNanos(100);
        Path file = Files.createTempFile("thrift", ".toml");
        List<Long> cameNs = Collections.synchronizedList(new ArrayList<>());
        List<Wire> connections = Collections.synchronizedList(new ArrayList<>());
        try (var platform = new Peer();
                var discovery = new Peer();
                var first = new Peer();
                var second = new Peer();
                var proxy = new ProxyProcess("n0", SETTINGS)) {
            hang(first, cameNs, connections);
            hang(second, cameNs, connections);
            String list = Fixture.list(
                    41,
                    true,
                    Fixture.entry("s0", first.address(), "ready"),
                    Fixture.entry("s1", second.address(), "ready"));
            platform.always(Peer.ok(list));
            discovery.always(Peer.ok(list));
            InetSocketAddress address = ReservedAddress.next();
            Files.writeString(
                    file,
                    installation(discovery.socketAddress(), address) + "max_open = " + open + System.lineSeparator());
            proxy.configure(platform.socketAddress(), list)
                    .start("--installation", file.toString())
                    .awaitReady();
            long leftNs;
            try (var transport = new TFramedTransport(new TSocket("127.0.0.1", address.getPort(), 10_000))) {
                transport.open();
                var client = new TBinaryProtocol(transport);
                for (int id = 1; id <= open; id++) {
                    send(client, id);
                }
                long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                while (cameNs.size() < open && System.nanoTime() < until) {
                    Thread.sleep(5);
                }
                assertThat(cameNs).as("all calls are out: %s", proxy.log()).hasSize(open);
            }
            leftNs = System.nanoTime();
            Thread.sleep(300);
            // What is safe to repeat is tried elsewhere, if anybody waits for it.
            for (Wire connection : List.copyOf(connections)) {
                connection.close();
            }
            Thread.sleep(1_500);
            assertThat(cameNs.stream()
                            .filter(came -> came - leftNs > leaveGraceNs)
                            .map(came -> (came - leftNs) / 1_000_000 + " ms after it left"))
                    .as("%s", proxy.log())
                    .isEmpty();
        } finally {
            Files.delete(file);
        }
    }
}
