package grebehoist.sim;

import beechfall.Balancer;
import beechfall.Policy;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/** Reads batches of events, gives each to its instance, and writes the reply. Instances share nothing. */
final class Host {
    private final Function<Balancer.Settings, Balancer> factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Fields fields = new Fields();
    private final StringBuilder reply = new StringBuilder(1 << 12);
    private BufferedReader reader;
    private long lineNumber;

    Host() {
        this(Policy::new);
    }

    Host(Function<Balancer.Settings, Balancer> factory) {
        this.factory = factory;
    }

    /** Runs until the input ends; returns the exit code. */
    int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        try {
            for (String line = next(); line != null; line = next()) {
                if (!line.isEmpty()) {
                    batch(line);
                    reply.append("ok\n");
                    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    reply.setLength(0);
                }
            }
            return 0;
        } catch (WireException e) {
            errors.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private String next() throws IOException {
        lineNumber++;
        return reader.readLine();
    }

    private String nextInBatch() throws IOException {
        String line = next();
        if (line == null) {
            throw new WireException("input ends inside a batch");
        }
        return line;
    }

    private void batch(String first) throws IOException {
        fields.read(first);
        if (!fields.name().equals("batch")) {
            throw new WireException("expected 'batch', found '" + fields.name() + "'");
        }
        long now = fields.whole("wall_us");
        for (String line = nextInBatch(); !line.equals("commit"); line = nextInBatch()) {
            if (!line.isEmpty()) {
                fields.read(line);
                event(now, fields.name());
            }
        }
    }

    private void event(long now, String name) throws IOException {
        int who = fields.small("who");
        if (name.equals("up")) {
            up(who);
            return;
        }
        Instance instance = instances.get(who);
        if (instance == null) {
            throw new WireException("'" + name + "' for instance " + who + ", which is not up");
        }
        if (name.equals("detach")) {
            instances.remove(who);
            return;
        }
        Balancer.Event event = name.equals("update") ? members() : Codec.event(name, fields);
        if (event != null) {
            try {
                instance.balancer.handle(now, event, instance);
            } catch (RuntimeException e) {
                panic(who, e);
            }
        }
    }

    private void up(int who) {
        Balancer.Settings settings;
        try {
            settings = Codec.settings(fields);
        } catch (IllegalArgumentException e) {
            throw new WireException("up: " + e.getMessage());
        }
        try {
            instances.put(who, new Instance(who, factory.apply(settings)));
        } catch (RuntimeException e) {
            panic(who, e);
        }
    }

    private Balancer.Members members() throws IOException {
        Balancer.ListKind kind = Codec.listKind(fields);
        int count = fields.optional("nodes_list") == null ? 0 : fields.small("nodes_list");
        List<Balancer.Backend> backends = new ArrayList<>(Math.min(count, 1024));
        for (int i = 0; i < count; i++) {
            fields.read(nextInBatch());
            try {
                backends.add(Codec.backend(fields));
            } catch (IllegalArgumentException e) {
                throw new WireException("entry: " + e.getMessage());
            }
        }
        return new Balancer.Members(kind, backends);
    }

    private void panic(int who, RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        Codec.head(reply, "panic", who).append(" message=").append(Codec.oneLine(String.valueOf(e)));
        if (trace.length > 0) {
            reply.append(" at ").append(trace[0]);
        }
        reply.append('\n');
    }

    /** One proxy's module, writing its actions to the reply under its number. */
    private final class Instance implements Consumer<Balancer.Action> {
        private final int who;
        private final Balancer balancer;

        Instance(int who, Balancer balancer) {
            this.who = who;
            this.balancer = balancer;
        }

        @Override
        public void accept(Balancer.Action action) {
            Codec.write(reply, who, action);
        }
    }
}
