package grebehoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.testkit.ReservedAddress;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Three machines that are set aside, each a process of the built jar, and a writer, which is another one. */
final class ControlFleet implements Closeable {
    private static final Path JAR = Path.of("target/grebehoist.jar").toAbsolutePath();
    private static final int MACHINES = 3;

    private final Path folder;
    private final int[] ports;
    private final List<InetSocketAddress> doors = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private Process writer;
    private BufferedReader results;

    /** Makes their files; so many proxies have ports too. */
    ControlFleet(Path folder, int proxies) throws IOException {
        this.folder = folder;
        ports = ports(MACHINES + proxies);
        for (int i = 0; i < MACHINES; i++) {
            doors.add(ReservedAddress.next());
        }
    }

    private static int[] ports(int number) throws IOException {
        var sockets = new ArrayList<DatagramSocket>();
        try {
            for (int i = 0; i < number; i++) {
                sockets.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().mapToInt(DatagramSocket::getLocalPort).toArray();
        } finally {
            sockets.forEach(DatagramSocket::close);
        }
    }

    private String machines() {
        var text = new StringBuilder();
        for (int i = 0; i < MACHINES; i++) {
            text.append("[[distribution.control]]\naddress = \"127.0.0.1:")
                    .append(ports[i])
                    .append("\"\ndoor = \"127.0.0.1:")
                    .append(doors.get(i).getPort())
                    .append("\"\nzone = \"z")
                    .append(i)
                    .append("\"\n");
        }
        return text + "[[distribution.key]]\nid = 1\nsecret = \"00112233445566778899aabbccddeeff\"\n";
    }

    /** Returns the file of a proxy, with more tables. */
    String proxyFile(int number, String more, String... scopes) throws IOException {
        return Files.writeString(
                        folder.resolve("p" + number + ".toml"),
                        more
                                + """
                [process]
                name = "p%d"
                [distribution]
                role = "proxy"
                listen = "127.0.0.1:%d"
                number = %d
                scopes = ["%s"]
                """.formatted(number, ports[MACHINES + number], number, String.join("\", \"", scopes))
                                + machines())
                .toString();
    }

    private Path file(int machine) throws IOException {
        return Files.writeString(
                folder.resolve("c" + machine + ".toml"), """
                [process]
                name = "c%d"
                [distribution]
                role = "control"
                listen = "127.0.0.1:%d"
                """.formatted(machine, ports[machine]) + machines());
    }

    private static ProcessBuilder java(String... words) {
        var command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-jar",
                JAR.toString()));
        command.addAll(List.of(words));
        var builder = new ProcessBuilder(command);
        builder.environment().remove("PROXY_CONFIG");
        return builder;
    }

    /** Starts all machines, and waits until each knows what the others hold. */
    void start() throws IOException, InterruptedException {
        for (int i = 0; i < MACHINES; i++) {
            processes.add(java("serve", "--installation", file(i).toString())
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("c" + i + ".log").toFile())
                    .start());
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        for (int i = 0; i < MACHINES; i++) {
            while (get(i, "/v1/readyz").status() != 200) {
                if (System.nanoTime() - until > 0 || !processes.get(i).isAlive()) {
                    throw new IllegalStateException(
                            "machine " + i + " is not ready: " + Files.readString(folder.resolve("c" + i + ".log")));
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        writer = java("change", "--installation", file(0).toString(), "--stdin")
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        results = new BufferedReader(new InputStreamReader(writer.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Calls a machine's door; status 0 where nobody answers. */
    Wire.Message get(int machine, String path) throws IOException {
        try (var wire = Wire.to(doors.get(machine))) {
            return wire.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").read();
        } catch (ConnectException e) {
            return new Wire.Message("HTTP/1.1 0 nobody", "", "");
        }
    }

    /** Posts to a machine's door. */
    Wire.Message post(int machine, String path, String body) throws IOException {
        try (var wire = Wire.to(doors.get(machine))) {
            return wire.send("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n"
                            + body)
                    .read();
        }
    }

    /** Has the writer make a change; returns what became of it. */
    JsonNode change(String op, String scope, String key) throws IOException {
        writer.getOutputStream()
                .write("{\"op\":\"%s\",\"scope\":\"%s\"%s}\n"
                        .formatted(op, scope, key.isEmpty() ? "" : ",\"key\":\"" + key + "\"")
                        .getBytes(StandardCharsets.UTF_8));
        writer.getOutputStream().flush();
        return Fixture.json(results.readLine());
    }

    /** Has a writer of its own make a change, with the command's options; returns what became of it, and the exit code as {@code exit}. */
    ObjectNode changeOnce(String... options) throws IOException, InterruptedException {
        var words = new ArrayList<>(List.of("change", "--installation", file(0).toString()));
        words.addAll(List.of(options));
        Process change = java(words.toArray(String[]::new))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        var line =
                (ObjectNode) Fixture.json(new String(change.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        return line.put("exit", change.waitFor());
    }

    /** Ends the writer; returns its exit code. */
    int endWriter() throws IOException, InterruptedException {
        writer.getOutputStream().close();
        return writer.waitFor();
    }

    /** Runs the command {@code status}; returns its lines, the last of which is on the machines. */
    List<JsonNode> status(String scope) throws IOException {
        Process status = java("status", "--installation", file(0).toString(), "--scope", scope)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        var lines = new ArrayList<JsonNode>();
        for (String line : new String(status.getInputStream().readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
            lines.add(Fixture.json(line));
        }
        return lines;
    }

    /** Kills a machine. */
    void kill(int machine) throws InterruptedException {
        processes.get(machine).destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
        if (writer != null) {
            writer.destroyForcibly();
        }
    }
}
