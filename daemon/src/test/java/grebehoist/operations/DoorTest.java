package grebehoist.operations;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DoorTest implements Door.Calls {
    private final List<String> asked = new ArrayList<>();
    private boolean ready;
    private boolean kept = true;
    private final Network network = Network.sockets();
    private final Channel door = new Door(this, new StderrLog())
            .listen(network, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .syncUninterruptibly()
            .channel();

    @AfterEach
    void end() {
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private Wire.Message call(String line) throws IOException {
        try (var wire = Wire.to((InetSocketAddress) door.localAddress())) {
            Wire.Message answer = wire.send(line + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                    .read();
            assertThat(wire.ended()).isTrue();
            return answer;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "POST /v1/backends/s-1/suspend,200,suspend s-1",
        "POST /v1/backends/s-1/resume,200,resume s-1",
        "POST /v1/backends/a%2Fb%20+c/suspend,200,suspend a/b +c",
        "POST /v1/backends/none/suspend,404,",
        "POST /v1/backends/none/resume,404,",
        "POST /v1/backends//suspend,404,",
        "POST /v1/backends/suspend,404,",
        "POST /v1/backends/s-1/stop,404,",
        "GET /v1/backends/s-1/suspend,405,",
        "POST /v1/backends/%zz/suspend,400,",
        "POST /v1/proxy/drain,200,drain true",
        "POST /v1/proxy/activate,200,drain false",
        "GET /v1/proxy/drain,405,",
        "POST /v1/metrics,405,",
        "GET /v1/readyz,503,",
        "GET /,404,",
        "NONSENSE,400,"
    })
    void eachCallHasItsAnswer(String line, int status, String done) throws IOException {
        assertThat(call(line).status()).isEqualTo(status);
        assertThat(asked).isEqualTo(done == null ? List.of() : List.of(done));
    }

    @Test
    void saysYesOnceItIsTrue() throws IOException {
        assertThat(call("GET /v1/readyz").status()).isEqualTo(503);
        ready = true;
        assertThat(call("GET /v1/readyz").status()).isEqualTo(200);
        assertThat(call("GET /v1/metrics").body()).isEqualTo("{\"active\":3}\n");
        kept = false;
        assertThat(call("POST /v1/proxy/drain").status())
                .as("what could not be kept is not promised")
                .isEqualTo(507);
    }

    /** Callers that complete no call cost those who do nothing, however many they are. */
    @Test
    void whoAsksNothingGivesWay() throws IOException {
        var silent = new ArrayList<Wire>();
        for (int i = 0; i < 3 * Door.MOST_CALLERS; i++) {
            silent.add(Wire.to((InetSocketAddress) door.localAddress()).send("GET /v1/re"));
        }
        ready = true;
        assertThat(call("GET /v1/readyz").status()).isEqualTo(200);
        assertThat(silent.get(0).ended()).isTrue();
        for (Wire wire : silent) {
            wire.close();
        }
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public ObjectNode figures() {
        return Json.object().put("active", 3);
    }

    @Override
    public ObjectNode members() {
        return null;
    }

    @Override
    public boolean knows(String backend) {
        return !backend.equals("none");
    }

    @Override
    public void suspend(String backend, Consumer<Boolean> then) {
        asked.add("suspend " + backend);
        then.accept(true);
    }

    @Override
    public void resume(String backend, Consumer<Boolean> then) {
        asked.add("resume " + backend);
        then.accept(true);
    }

    @Override
    public void drain(boolean on, Consumer<Boolean> then) {
        asked.add("drain " + on);
        then.accept(kept);
    }
}
