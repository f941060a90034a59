package grebehoist.trial.scale;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The control machines: processes of the real program, each with its installation file, a relay between them. */
final class ControlMachines implements AutoCloseable {
    /** What all datagrams of a play are sealed with, in hexadecimal: only for trials, on loopback. */
    static final String KEY = "6f6e6c7920666f7220747269616c732c206f6e206c6f6f706261636b";
    private static final List<String> FLAGS = List.of("-Djava.net.preferIPv4Stack=true", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-Xshare:auto", "-XX:-UsePerfData", "-Dio.netty.jfr.enabled=false", "-Xss512k", "-Xmx64m", "-XX:MaxDirectMemorySize=40m",
            "-XX:ReservedCodeCacheSize=24m");

    private final Path jar;
    private final Path directory;
    private final InetSocketAddress[] listen;
    private final InetSocketAddress[] doors;
    private final MachineRelay relay;
    private final Subprocess[] processes;
    /** Processor time of earlier lives. */
    private final long[] spentMs;

    ControlMachines(int number, int proxies, Path jar, Path directory, long seed) throws IOException {
        this.jar = jar;
        this.directory = directory;
        listen = new InetSocketAddress[number];
        doors = new InetSocketAddress[number];
        processes = new Subprocess[number];
        spentMs = new long[number];
        ports();
        relay = new MachineRelay(listen, seed);
        for (int i = 0; i < number; i++) {
            Files.writeString(installation(i), text(i, proxies));
        }
        Files.writeString(writer(), text(-1, proxies));
    }

    /** Ports that nobody has: a machine is to have the same ones in each of its lives. All are held until all are found. */
    private void ports() throws IOException {
        var held = new ArrayList<AutoCloseable>();
        InetAddress here = InetAddress.getLoopbackAddress();
        try {
            for (int i = 0; i < listen.length; i++) {
                var datagram = new DatagramSocket(0, here);
                held.add(datagram);
                listen[i] = new InetSocketAddress(here, datagram.getLocalPort());
                var door = new ServerSocket(0, 1, here);
                held.add(door);
                doors[i] = new InetSocketAddress(here, door.getLocalPort());
            }
        } finally {
            for (AutoCloseable h : held) {
                try {
                    h.close();
                } catch (Exception e) {
                    throw new IOException(e);
                }
            }
        }
    }

    private Path installation(int machine) {
        return directory.resolve("m" + machine + ".toml");
    }

    /** Returns the installation file of the writer. */
    Path writer() {
        return directory.resolve("writer.toml");
    }

    private String text(int machine, int proxies) throws IOException {
        var text = new StringBuilder("[process]\nname = \"").append(machine < 0 ? "writer" : "m" + machine)
                .append("\"\n[distribution]\nrole = \"control\"\nlisten = \"").append(text(listen[Math.max(0, machine)])).append("\"\n");
        for (int i = 0; i < listen.length; i++) {
            text.append("[[distribution.control]]\naddress = \"").append(text(machine < 0 ? listen[i] : relay.address(machine, i)))
                    .append("\"\ndoor = \"").append(text(doors[i])).append("\"\nzone = \"").append(Plan.zoneName(Plan.zone(i))).append("\"\n");
        }
        return text.append("[[distribution.key]]\nid = 1\nsecret = \"").append(KEY).append("\"\n").toString();
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    int number() {
        return listen.length;
    }

    /** Returns the port of a machine's datagrams. */
    int port(int machine) {
        return listen[machine].getPort();
    }

    MachineRelay relay() {
        return relay;
    }

    void start(int machine) throws IOException {
        processes[machine] = new Subprocess("m" + machine, FLAGS, jar, List.of("serve", "--installation", installation(machine).toString()),
                line -> { });
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
            var connection = (HttpURLConnection) URI.create("http://" + text(doors[machine]) + "/").toURL().openConnection();
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
