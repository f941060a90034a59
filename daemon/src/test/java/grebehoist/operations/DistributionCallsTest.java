package grebehoist.operations;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.cli.Fixture;
import grebehoist.cli.Wire;
import grebehoist.config.Json;
import grebehoist.net.Network;
import grebehoist.net.StderrLog;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The door of a process without a pool of the platform's, at which the distribution answers. */
class DistributionCallsTest implements DistributionCalls.Distributed {
    private final List<String> asked = new ArrayList<>();
    private boolean ready;
    private final Network network = Network.sockets();
    private final Door opened = new Door(null, new StderrLog());
    private final Channel door = opened.listen(network, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .syncUninterruptibly()
            .channel();

    @AfterEach
    void end() {
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private Wire.Message call(String line, String body) throws IOException {
        opened.distribution(new DistributionCalls(this));
        try (var wire = Wire.to((InetSocketAddress) door.localAddress())) {
            return wire.send(line + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .read();
        }
    }

    private String error(String body, int status) throws IOException {
        Wire.Message answer = call("POST /v1/distribution/call", body);
        assertThat(answer.status()).as(answer.body()).isEqualTo(status);
        return Fixture.json(answer.body()).path("error").asText();
    }

    @ParameterizedTest
    @CsvSource({
        "GET /v1/distribution,200,figures null null",
        "GET /v1/distribution?scope=c1%2Fbilling,200,figures c1/billing null",
        "GET /v1/distribution?after=a+b,200,figures null a b",
        "GET /v1/distribution?scope=none,404,figures none null",
        "POST /v1/distribution,405,",
        "GET /v1/distribution/call,405,",
        "POST /v1/distribution/calls,404,",
        "GET /v1/distribution/x,404,",
        "GET /v1/metrics,404,",
        "POST /v1/backends/s-1/suspend,404,",
        "POST /v1/proxy/drain,404,",
        "GET /v1/members,404,",
        "GET /v1/readyz,503,"
    })
    void eachCallHasItsAnswer(String line, int status, String done) throws IOException {
        assertThat(call(line, "").status()).isEqualTo(status);
        assertThat(asked).isEqualTo(done == null ? List.of() : List.of(done));
    }

    @Test
    void aCallIsAnswered() throws IOException {
        Wire.Message answer = call("POST /v1/distribution/call", "{\"call\":\"open\"}");
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("{\"answer\":\"held\"}\n");
        assertThat(asked).containsExactly("call {\"call\":\"open\"}");
        ready = true;
        assertThat(call("GET /v1/readyz", "").status()).isEqualTo(200);
    }

    /** What can't be read changes nothing, and the answer says where it goes wrong. */
    @Test
    void whatIsNoCallIsRefused() throws IOException {
        assertThat(error("{\"call\":", 400)).startsWith("line 1, column ").contains("not JSON");
        assertThat(error("", 400)).isEqualTo("no call");
        assertThat(error("[1]", 400)).isEqualTo("no call");
        assertThat(error("{\"call\":\"elsewhere\"}", 404)).isEqualTo("this process holds nothing for others");
        assertThat(call("POST /v1/distribution/call", "x".repeat(5_000)).status())
                .isEqualTo(413);
        assertThat(asked).isEmpty();
    }

    /** Deep nesting is the parser's to refuse. */
    @Test
    void whatNestsTooDeepIsRefused() throws IOException {
        assertThat(error("[".repeat(3_900), 400)).contains("not JSON");
        assertThat(asked).isEmpty();
    }

    @Test
    void whereNothingIsDistributedThereIsNothing() throws IOException {
        try (var wire = Wire.to((InetSocketAddress) door.localAddress())) {
            assertThat(wire.send("GET /v1/distribution HTTP/1.1\r\nHost: x\r\n\r\n")
                            .read()
                            .status())
                    .isEqualTo(404);
        }
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public ObjectNode figures(String scope, String after) {
        asked.add("figures " + scope + " " + after);
        return "none".equals(scope) ? null : Json.object().put("held", 1);
    }

    @Override
    public ObjectNode call(JsonNode call) throws DistributionCalls.BadCall {
        if (!call.isObject()) {
            throw new DistributionCalls.BadCall("no call");
        }
        if (call.path("call").asText().equals("elsewhere")) {
            return null;
        }
        asked.add("call " + call);
        return Json.object().put("answer", "held");
    }
}
