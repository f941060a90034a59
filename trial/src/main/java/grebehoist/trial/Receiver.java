package grebehoist.trial;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Where the tasks of a trial take effect, outside the fleet: an effect takes 50 to 500 ms, so that two at once are seen. Of a fenced task it does one
 * effect after the other, compares the token right before each, and does each run once. Of a timed task it does whatever comes.
 */
final class Receiver implements AutoCloseable {
    private static final long SHORTEST_MS = 50;
    private static final int PATIENCE_MS = 5_000;
    private static final int MOST_LINES = 50;

    /** What was done of one task; it is also the lock of a fenced one. */
    private static final class Done {
        private long token;
        private long run;
    }

    private final ServerSocket socket;
    private final Consumer<ObjectNode> effects;
    private final Map<String, Done> done = new ConcurrentHashMap<>();
    private final ExecutorService workers = Executors.newCachedThreadPool(r -> {
        var thread = new Thread(r, "receiver");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Begins to listen.
     *
     * @param effects hears of each effect when it is over, on several threads
     */
    Receiver(Consumer<ObjectNode> effects) throws IOException {
        this.effects = effects;
        socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        workers.execute(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket caller = socket.accept();
                workers.execute(() -> serve(caller));
            } catch (IOException e) {
                // The end, or a caller that has gone already.
            }
        }
    }

    private void serve(Socket caller) {
        try (caller) {
            caller.setSoTimeout(PATIENCE_MS);
            var in = new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.ISO_8859_1));
            var headers = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
            String line = in.readLine();
            for (int n = 0; line != null && !line.isEmpty() && n < MOST_LINES; n++) {
                int colon = line.indexOf(':');
                headers.put(
                        colon < 0 ? "" : line.substring(0, colon),
                        line.substring(colon + 1).trim());
                line = in.readLine();
            }
            if (line != null && headers.containsKey("X-Task")) {
                caller.getOutputStream().write(answer(headers).getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // A caller that was killed or has given up: what took effect is told all the same.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String answer(Map<String, String> headers) throws InterruptedException {
        String task = headers.get("X-Task");
        long token = Long.parseLong(headers.get("X-Token"));
        long run = Long.parseLong(headers.get("X-Run"));
        Done known = done.computeIfAbsent(task, t -> new Done());
        if (!TaskPlan.fenced(Integer.parseInt(task.substring(1)))) {
            return effect(headers, known, token, run, true);
        }
        synchronized (known) {
            return effect(headers, known, token, run, token >= known.token && run > known.run);
        }
    }

    private String effect(Map<String, String> headers, Done known, long token, long run, boolean accepted)
            throws InterruptedException {
        long began = System.nanoTime() / 1_000;
        long before = known.run;
        known.token = Math.max(known.token, token);
        if (accepted) {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextLong(SHORTEST_MS, TaskPlan.LONGEST_EFFECT_MS));
            known.run = Math.max(known.run, run);
        }
        String task = headers.get("X-Task");
        long ended = System.nanoTime() / 1_000;
        effects.accept(History.JSON
                .createObjectNode()
                .put("t_us", ended)
                .put("by", "receiver")
                .put("what", "effect")
                .put("task", task)
                .put("class", TaskPlan.fenced(Integer.parseInt(task.substring(1))) ? "fenced" : "timed")
                .put("holder", headers.get("X-Holder"))
                .put("token", token)
                .put("run", run)
                .put("began_us", began)
                .put("ended_us", ended)
                .put("accepted", accepted));
        return "HTTP/1.1 " + (accepted ? "200 OK" : "409 Conflict")
                + "\r\nContent-Length: 0\r\nConnection: close\r\nX-Last-Run: " + before + "\r\nX-Last-Token: "
                + known.token + "\r\n\r\n";
    }

    @Override
    public void close() throws IOException {
        socket.close();
        workers.shutdownNow();
    }
}
