package grebehoist.trial.scale;

import grebehoist.testkit.DatagramPorts;
import grebehoist.testkit.ReservedAddress;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** The control machines: processes of the real program, each with its installation file, a relay between them and to the real proxies. */
final class ControlMachines implements AutoCloseable {
    /** What all datagrams of a play are sealed with, in hexadecimal: only for trials, on loopback. */
    static final String KEY = "6f6e6c7920666f7220747269616c732c206f6e206c6f6f706261636b";

    private static final List<String> FLAGS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-XX:-UsePerfData",
            "-Dio.netty.jfr.enabled=false",
            "-Xss512k",
            "-Xmx64m",
            "-XX:MaxDirectMemorySize=40m",
            "-XX:ReservedCodeCacheSize=24m");

    private final Path jar;
    private final Path directory;
    /** Of machines, then of real proxies. */
    private final InetSocketAddress[] listen;

    private final InetSocketAddress[] doors;
    private final MachineRelay relay;
    private final Subprocess[] processes;
    /** Processor time of earlier lives. */
    private final long[] spentMs;

    ControlMachines(Plan plan, Path jar, Path directory) throws IOException {
        this.jar = jar;
        this.directory = directory;
        int number = plan.machines();
        doors = new InetSocketAddress[number + plan.real()];
        for (int i = 0; i < doors.length; i++) {
            doors[i] = ReservedAddress.next();
        }
        processes = new Subprocess[number];
        spentMs = new long[number];
        try (var ports = new DatagramPorts(doors.length)) {
            listen = ports.addresses();
            int[] zones = IntStream.range(0, listen.length)
                    .map(i -> Plan.zone(i < number ? i : plan.proxies() + i - number))
                    .toArray();
            // The relay's sockets would get ports of the machines otherwise.
            relay = new MachineRelay(listen, zones, number, plan.seed());
        }
        for (int i = 0; i < number; i++) {
            Files.writeString(installation(i), text("m" + i, "control", i, i));
        }
        Files.writeString(writer(), text("writer", "control", 0, -1));
    }

    private Path installation(int machine) {
        return directory.resolve("m" + machine + ".toml");
    }

    /** Returns the installation file of the writer. */
    Path writer() {
        return directory.resolve("writer.toml");
    }

    private String text(String name, String role, int at, int sees) throws IOException {
        var text = new StringBuilder("[process]\nname = \"")
                .append(name)
                .append("\"\n[distribution]\nrole = \"")
                .append(role)
                .append("\"\nlisten = \"")
                .append(text(listen[at]))
                .append("\"\n");
        for (int i = 0; i < processes.length; i++) {
            text.append("[[distribution.control]]\naddress = \"")
                    .append(text(sees < 0 ? listen[i] : relay.address(sees, i)))
                    .append("\"\ndoor = \"")
                    .append(text(doors[i]))
                    .append("\"\nzone = \"")
                    .append(Plan.zoneName(Plan.zone(i)))
                    .append("\"\n");
        }
        return text.append("[[distribution.key]]\nid = 1\nsecret = \"")
                .append(KEY)
                .append("\"\n")
                .toString();
    }

    /** Returns the tables of a real proxy, but for its number and scopes: these go where {@code %s} is. */
    String proxy(String name, int real) throws IOException {
        return text(name, "proxy", processes.length + real, processes.length + real)
                .replaceFirst("\n\\[\\[distribution.control", "\n%s\n[[distribution.control");
    }

    /** Returns where a real proxy may listen to its clients. */
    InetSocketAddress clients(int real) {
        return doors[processes.length + real];
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    int number() {
        return processes.length;
    }

    /** Returns the port of a machine's datagrams. */
    int port(int machine) {
        return listen[machine].getPort();
    }

    MachineRelay relay() {
        return relay;
    }

    void start(int machine) throws IOException {
        processes[machine] = new Subprocess(
                "m" + machine,
                FLAGS,
                jar,
                List.of("serve", "--installation", installation(machine).toString()),
                line -> {});
    }

    /** Waits until the door of a machine answers. */
    boolean awaitReady(int machine, long mostMs) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (System.nanoTime() - until < 0 && processes[machine].alive()) {
            if (answers(machine)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    private boolean answers(int machine) {
        try {
            var connection = (HttpURLConnection)
                    URI.create("http://" + text(doors[machine]) + "/").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends one with SIGKILL. */
    void kill(int machine) throws InterruptedException {
        processes[machine].kill();
        spentMs[machine] += processes[machine].cpuMs();
    }

    void signal(int machine, String signal) throws IOException, InterruptedException {
        processes[machine].signal(signal);
    }

    /** Returns the processor time of each, over all its lives, in milliseconds. */
    long[] cpuMs() {
        long[] all = new long[processes.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = spentMs[i] + (processes[i].alive() ? processes[i].cpuMs() : 0);
        }
        return all;
    }

    /** Returns the greatest memory of any that runs, in KiB. */
    long peakKib() {
        long peak = 0;
        for (Subprocess p : processes) {
            peak = Math.max(peak, p.peakKib());
        }
        return peak;
    }

    boolean alive(int machine) {
        return processes[machine].alive();
    }

    /** Returns what a machine has written. */
    List<String> log(int machine) {
        return processes[machine].log();
    }

    @Override
    public void close() throws IOException {
        for (Subprocess p : processes) {
            if (p != null) {
                p.close();
            }
        }
        relay.close();
    }
}
