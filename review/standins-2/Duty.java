import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Three proxies that share one task, as deploy/leases.toml has it, and the receiver of its calls. */
final class Duty implements AutoCloseable {
    static final int PROXIES = 3;

    /** A run that was done. */
    record Effect(long atMs, String task, String holder, long token, long run) {}

    /** A task of the installation file. */
    record Task(String name, boolean fenced, long everyMs, long actMs) {}

    private final Rig rig;
    private final int receiver;
    private final int discovery;
    private final int[] listen = Rig.freePorts(PROXIES);
    private final int[] peers = Rig.freePorts(PROXIES);
    private final Process[] processes = new Process[PROXIES];
    private final List<Effect> effects = new ArrayList<>();
    private final Map<String, long[]> seen = new HashMap<>();

    Duty(Rig rig) throws IOException {
        this.rig = rig;
        int backend = idleBackend();
        this.discovery = rig.discovery(Rig.server("s-0", backend, "ulven"));
        this.receiver = receiver();
    }

    private static int idleBackend() throws IOException {
        var socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Rig.daemon(() -> {
            while (true) {
                socket.accept().close();
            }
        });
        return socket.getLocalPort();
    }

    /**
     * The receiver: of a fenced task it does one run after the other, compares the token and the run right before each, and answers 409
     * to what it has done or what comes with an older token. Of a timed one it compares nothing.
     */
    private int receiver() throws IOException {
        var socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Rig.daemon(() -> {
            while (true) {
                Socket caller = socket.accept();
                Rig.daemon(() -> {
                    try (caller) {
                        Rig.Message call = Rig.Message.read(caller.getInputStream());
                        if (call != null) {
                            String[] said = effect(call);
                            Rig.answer(caller.getOutputStream(), said[0], said[1] + "Connection: close\r\n", "");
                        }
                    }
                });
            }
        });
        return socket.getLocalPort();
    }

    private synchronized String[] effect(Rig.Message call) {
        String task = call.headers.get("X-Task");
        String holder = call.headers.get("X-Holder");
        long token = Long.parseLong(call.headers.get("X-Token"));
        long run = Long.parseLong(call.headers.get("X-Run"));
        boolean fenced = call.first.contains("/fenced");
        long[] last = seen.computeIfAbsent(task, t -> new long[2]);
        long lastRun = last[0];
        String headers = "X-Last-Run: " + lastRun + "\r\n";
        String what = task + ": call of " + holder + ", run " + run + ", token " + token;
        if (fenced && token < last[1]) {
            rig.note(what + ": 409, the token is older than " + last[1]);
            return new String[] {"409 Conflict", headers + "X-Last-Token: " + last[1] + "\r\n"};
        }
        last[1] = Math.max(last[1], token);
        if (fenced && run <= last[0]) {
            rig.note(what + ": 409, that run has been done");
            return new String[] {"409 Conflict", headers};
        }
        last[0] = Math.max(last[0], run);
        effects.add(new Effect(System.currentTimeMillis(), task, holder, token, run));
        rig.note(what + ": done");
        return new String[] {"200 OK", fenced ? headers : ""};
    }

    synchronized List<Effect> effects() {
        return List.copyOf(effects);
    }

    /** Starts a proxy, or starts it again, with these tasks. */
    void start(int number, List<Task> tasks) throws Exception {
        var file = new StringBuilder("[process]\nname = \"n" + number + "\"\n\n[membership]\nlisten = \"127.0.0.1:" + peers[number]
                + "\"\npeers = [");
        for (int i = 0; i < PROXIES; i++) {
            file.append(i == 0 ? "" : ", ").append("\"127.0.0.1:").append(peers[i]).append('"');
        }
        file.append("]\nzone = \"").append(new String[] {"ulven", "lysaker", "skoyen"}[number])
                .append("\"\n\n[[membership.key]]\nid = 1\nsecret = \"6f6e6c7920616e206578616d706c652c206e6f7420612073656372657421\"\n\n")
                .append("[lease]\nset = 1\nvoters = [0, 1, 2]\nlease_ms = 2000\n");
        for (Task t : tasks) {
            file.append("\n[[task]]\nname = \"").append(t.name).append("\"\nclass = \"").append(t.fenced ? "fenced" : "timed")
                    .append("\"\ncall = \"127.0.0.1:").append(receiver).append("\"\npath = \"/").append(t.fenced ? "fenced" : "timed")
                    .append("\"\nevery_ms = ").append(t.everyMs).append("\nact_ms = ").append(t.actMs).append('\n');
        }
        processes[number] = rig.start("n" + number, Rig.config("n" + number, listen[number], discovery, PROXIES, number), file.toString());
    }

    void startAll(List<Task> tasks) throws Exception {
        for (int i = 0; i < PROXIES; i++) {
            start(i, tasks);
        }
        for (int i = 0; i < PROXIES; i++) {
            rig.awaitReady(listen[i], processes[i]);
        }
        rig.note("all proxies are ready");
    }

    void awaitReady(int number) throws Exception {
        rig.awaitReady(listen[number], processes[number]);
    }

    Process process(int number) {
        return processes[number];
    }

    static int number(String holder) {
        return Integer.parseInt(holder.substring(1));
    }

    /** Waits for a further run after so many; returns it, or null. */
    Effect awaitEffect(int after, long mostMs) throws InterruptedException {
        long until = System.currentTimeMillis() + mostMs;
        while (System.currentTimeMillis() < until) {
            List<Effect> now = effects();
            if (now.size() > after) {
                return now.get(now.size() - 1);
            }
            Thread.sleep(5);
        }
        return null;
    }

    /** Writes what the proxies have said of holdings into the record. */
    void noteHoldings() throws IOException {
        for (int i = 0; i < PROXIES; i++) {
            for (String line : rig.log("n" + i).split("\n")) {
                if (line.contains("holding") || line.contains("task_failed") || line.contains("missed")) {
                    rig.note("log of n" + i + ": " + line);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        noteHoldings();
    }
}
