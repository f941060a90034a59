package grebehoist.writer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.fleet.distribution.Call;
import grebehoist.fleet.distribution.Layout;
import grebehoist.fleet.distribution.Writer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Makes changes: those of one scope one after the other, those of several scopes side by side, and tells what became of each, in the order
 * in which they came. {@link #add} and {@link #end} are called by one thread; the work is done on another.
 */
public final class ChangeStream {
    private static final int LONGEST_LINE = 2_048;
    /** So many may be under way, or wait for one before them to be told. */
    private static final int MOST = 1_024;
    /** Beyond so many, a scope that has nothing under way is opened anew with its next change. */
    private static final int MOST_SCOPES = 20_000;
    /** Whether a change was taken is found out so often, and so long. */
    private static final long RETRY_MS = 300;

    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(8);

    /** What becomes of one change. */
    private static final class Wanted {
        private final Change change;
        private long since;
        private ObjectNode told;

        Wanted(Change change) {
            this.change = change;
        }
    }

    /** The changes of one scope, the first of which is under way. */
    private final class Scope {
        private final String name;
        private final Deque<Wanted> queue = new ArrayDeque<>();
        /** Null where the next change is to begin with a new epoch. */
        private Writer writer;
        /** Whether it is to be tried again soon. */
        private boolean waits;

        Scope(String name) {
            this.name = name;
        }

        void next() {
            Wanted first = queue.peek();
            if (first == null) {
                return;
            }
            if (writer == null) {
                writer = new Writer(layout, name, epoch());
            }
            first.since = System.nanoTime();
            Change c = first.change;
            go(
                    first,
                    c.op() == Change.Op.CREATE ? writer.create(c.base()) : writer.change(c.kind(), c.key(), c.value()));
        }

        private void go(Wanted wanted, List<Call> calls) {
            Writer by = writer;
            for (Call call : calls) {
                doors.call(call, answer -> {
                    if (by == writer) {
                        go(queue.peek(), answer == null ? by.gaveUp(call) : by.answered(call, answer));
                    }
                });
            }
            look(wanted);
        }

        /** An answer may come late, when another change is under way already, or none. */
        private void look(Wanted wanted) {
            if (wanted == null
                    || wanted != queue.peek()
                    || wanted.told != null
                    || writer == null
                    || writer.result() == null) {
                return;
            }
            Writer.Result result = writer.result();
            if (result instanceof Writer.Unknown && System.nanoTime() - wanted.since < PATIENCE_NS) {
                if (!waits) {
                    waits = true;
                    on.schedule(
                            () -> {
                                waits = false;
                                if (wanted == queue.peek()
                                        && writer != null
                                        && writer.result() instanceof Writer.Unknown) {
                                    go(wanted, writer.retry());
                                }
                            },
                            RETRY_MS,
                            TimeUnit.MILLISECONDS);
                }
                return;
            }
            ObjectNode line = Json.object()
                    .put("t_us", System.nanoTime() / 1_000)
                    .put("scope", name)
                    .put("op", wanted.change.op().word())
                    .put("key", wanted.change.key());
            if (result instanceof Writer.Taken t) {
                line.put("result", "taken").put("version", t.version());
            } else {
                line.put("result", result instanceof Writer.Refused ? "refused" : "unknown")
                        .put("why", result instanceof Writer.Refused r ? r.why() : ((Writer.Unknown) result).why());
                // Another writer may have come: the next change begins anew, and finds what there is.
                writer = null;
            }
            queue.poll();
            wanted.told = line;
            tell();
            if (queue.isEmpty() && scopes.size() > MOST_SCOPES) {
                scopes.remove(name);
            }
            next();
        }
    }

    private final Layout layout;
    private final PrintStream out;
    private final ScheduledExecutorService on = Executors.newSingleThreadScheduledExecutor(task -> {
        var thread = new Thread(task, "changes");
        thread.setDaemon(true);
        return thread;
    });
    private final Doors doors;
    private final Semaphore places = new Semaphore(MOST);
    private final Map<String, Scope> scopes = new HashMap<>();
    private final Deque<Wanted> untold = new ArrayDeque<>();
    private long lastEpoch;
    private volatile boolean allTaken = true;

    /**
     * Makes one.
     *
     * @param addresses the machines' doors, by number
     * @param out where a line of JSON goes for each change
     */
    public ChangeStream(Layout layout, List<InetSocketAddress> addresses, PrintStream out) {
        this.layout = layout;
        this.out = out;
        this.doors = new Doors(addresses, on);
    }

    /** Greater than that of any writer before, where wall clocks are right. */
    private long epoch() {
        lastEpoch = Math.max(lastEpoch + 1, System.currentTimeMillis());
        return lastEpoch;
    }

    /** Adds a change; waits while there are too many. */
    public void add(Change change) throws InterruptedException {
        places.acquire();
        on.execute(() -> {
            var wanted = new Wanted(change);
            untold.add(wanted);
            Scope scope = scopes.computeIfAbsent(change.scope(), Scope::new);
            scope.queue.add(wanted);
            if (scope.queue.size() == 1) {
                scope.next();
            }
        });
    }

    /** Adds all changes of a batch, a line of JSON for each; what is none is told in its turn as refused. */
    public void addAll(InputStream lines) throws IOException, InterruptedException {
        var line = new ByteArrayOutputStream();
        int number = 1;
        for (int b = lines.read(); b >= 0; b = lines.read()) {
            if (b != '\n') {
                if (line.size() <= LONGEST_LINE) {
                    line.write(b);
                }
            } else {
                addLine(number++, line.toByteArray());
                line.reset();
            }
        }
        addLine(number, line.toByteArray());
    }

    private void addLine(int number, byte[] line) throws InterruptedException {
        if (new String(line, StandardCharsets.UTF_8).isBlank()) {
            return;
        }
        try {
            if (line.length > LONGEST_LINE) {
                throw new Change.BadChange("longer than " + LONGEST_LINE + " bytes");
            }
            add(Change.read(Json.read(new ByteArrayInputStream(line))));
        } catch (JsonProcessingException e) {
            addBad(number, "not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            addBad(number, "not JSON: " + e.getMessage());
        } catch (Change.BadChange e) {
            addBad(number, e.getMessage());
        }
    }

    private void addBad(int line, String why) throws InterruptedException {
        places.acquire();
        on.execute(() -> {
            var wanted = new Wanted(null);
            wanted.told = Json.object()
                    .put("t_us", System.nanoTime() / 1_000)
                    .put("line", line)
                    .put("result", "refused")
                    .put("why", "line " + line + ": " + why);
            untold.add(wanted);
            tell();
        });
    }

    private void tell() {
        while (!untold.isEmpty() && untold.peek().told != null) {
            ObjectNode line = untold.poll().told;
            allTaken &= line.path("result").asText().equals("taken");
            out.println(line);
            out.flush();
            places.release();
        }
    }

    /** Waits until all is told; returns whether all was taken. */
    public boolean end() throws InterruptedException {
        places.acquire(MOST);
        on.shutdownNow();
        return allTaken;
    }
}
