package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.testkit.DatagramPorts;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Whole processes that share a fenced task, and a receiver that does what {@code docs/leases.md} wants of it. */
@Timeout(120)
class TaskPeriodsIT {
    private static final int PROXIES = 3;
    /** Longer than it takes for a task to go home, so that it is back with its first holder in the period in which that one was stopped. */
    private static final long EVERY_MS = 20_000;
    /** Less than the pause that membership bears, and more than the lease. */
    private static final long STOPPED_MS = 4_000;

    /** A task that is elsewhere has gone home by then. */
    private static final long GOES_HOME_MS = 13_000;

    /** A run that was done, by the receiver's clock. */
    private record Effect(long atMs, String holder, long run) {}

    @TempDir
    private Path folder;

    private final List<Effect> effects = Collections.synchronizedList(new ArrayList<>());
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private long lastRun;
    private long lastToken;

    /** One effect after the other: the token and the run are compared right before each. */
    private synchronized String call(Wire.Message call) {
        long token = Long.parseLong(call.header("X-Token"));
        long run = Long.parseLong(call.header("X-Run"));
        String before = "X-Last-Run: " + lastRun;
        if (token < lastToken) {
            return Peer.answer("409 Conflict", "", before, "X-Last-Token: " + lastToken);
        }
        lastToken = token;
        if (run <= lastRun) {
            return Peer.answer("409 Conflict", "", before);
        }
        lastRun = run;
        effects.add(new Effect(System.currentTimeMillis(), call.header("X-Holder"), run));
        return Peer.answer("200 OK", "", before);
    }

    private void serve(Wire caller) throws IOException {
        try (caller) {
            Wire.Message call = caller.read();
            if (call != null) {
                caller.send(call(call));
            }
        }
    }

    private static List<String> addresses() throws IOException {
        try (var ports = new DatagramPorts(PROXIES)) {
            return Arrays.stream(ports.addresses())
                    .map(address -> "127.0.0.1:" + address.getPort())
                    .toList();
        }
    }

    private String file(int number, List<String> addresses, Peer receiver) throws IOException {
        String text = """
                [process]
                name = "n%d"
                [membership]
                listen = "%s"
                peers = ["%s"]
                zone = "z%d"
                [[membership.key]]
                id = 1
                secret = "00112233445566778899aabbccddeeff"
                [lease]
                voters = [0, 1, 2]
                lease_ms = 2000
                [[task]]
                name = "close-the-day"
                class = "fenced"
                call = "%s"
                every_ms = %d
                act_ms = 5000
                """.formatted(
                number, addresses.get(number), String.join("\", \"", addresses), number, receiver.address(), EVERY_MS);
        return Files.writeString(folder.resolve("n" + number + ".toml"), text).toString();
    }

    private String logs() throws IOException {
        var text = new StringBuilder();
        for (ProxyProcess proxy : proxies) {
            text.append(proxy.log());
        }
        return text.toString();
    }

    /** Waits until so many runs have been done, and returns the last of them. */
    private Effect awaitEffect(int number, long mostMs) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (effects.size() < number) {
            assertThat(System.nanoTime() - until).as("%s%n%s", effects, logs()).isNegative();
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return effects.get(number - 1);
    }

    /** The first run may be late in its period, and by a member that the task leaves for its first one. */
    private Effect firstRunAtHome() throws IOException, InterruptedException {
        Effect first = awaitEffect(1, 2 * EVERY_MS);
        Effect run = first;
        while (run.atMs() - first.atMs() < GOES_HOME_MS) {
            run = awaitEffect(effects.size() + 1, 2 * EVERY_MS);
        }
        return run;
    }

    /**
     * Guards against issue 73, review/9: a holder that was stopped for 4 s did the run of the next period as soon as it held the task again, and from
     * then on each run came a period early.
     */
    @Test
    void aHolderThatWasStoppedDoesNoRunBeforeItsPeriod() throws Exception {
        List<String> addresses = addresses();
        try (var rig = ProcessIT.rig();
                var receiver = new Peer()) {
            receiver.serveAll(this::serve);
            for (int i = 0; i < PROXIES; i++) {
                var proxy = new ProxyProcess("n" + i, ProcessIT.settings(i % 2));
                proxies.add(proxy);
                proxy.configure(rig.discoveryOfNextProxy(), rig.on(rig.discovery()::known))
                        .start("--installation", file(i, addresses, receiver));
            }
            Effect run = firstRunAtHome();
            int known = effects.size();
            ProxyProcess holder = proxies.get(Integer.parseInt(run.holder().substring(1)));
            holder.signal("STOP");
            TimeUnit.MILLISECONDS.sleep(STOPPED_MS);
            holder.signal("CONT");
            Effect next = awaitEffect(known + 1, 2 * EVERY_MS);
            assertThat(effects)
                    .as("runs in the period of their number, and so one each")
                    .allMatch(e -> e.atMs() / EVERY_MS == e.run());
            assertThat(next.run()).as("none is left out").isEqualTo(run.run() + 1);
        } finally {
            for (ProxyProcess proxy : proxies) {
                proxy.close();
            }
        }
    }
}
