package grebehoist.thrift;

import beechfall.Balancer;
import grebehoist.engine.Request;
import grebehoist.net.ClientFront;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads what a call asks of a pool, by the methods of the installation file, or says why it can't be passed on. */
final class CallReader {
    private static final long MOST_PATIENCE_MS = 24 * 3_600_000L;

    /** A call that can't be passed on: what its client is told. */
    static final class Rejected extends Exception {
        private static final long serialVersionUID = 1L;
        private final int type;
        private final boolean harmless;

        Rejected(int type, boolean harmless, String why) {
            super(why, null, false, false);
            this.type = type;
            this.harmless = harmless;
        }

        int type() {
            return type;
        }

        boolean harmless() {
            return harmless;
        }
    }

    /** What was read: the request, and how its refusal is told. */
    record Read(Request request, ThriftMethod method) {}

    /** A method with its paths made ready: slots, or -1 where a figure is fixed or not given. */
    private static final class Entry {
        private final ThriftMethod method;
        private final Balancer.RequestClass type;
        private final FieldPaths paths = new FieldPaths();
        private final int[] slots;

        Entry(ThriftMethod method, Balancer.RequestClass type) {
            this.method = method;
            this.type = type;
            var figures = new ArrayList<ThriftMethod.Figure>();
            figures.add(method.tenant());
            figures.add(method.key());
            figures.add(method.about());
            figures.add(method.timeoutMs());
            figures.add(method.requestId());
            figures.add(method.retried());
            slots = figures.stream()
                    .mapToInt(f -> f instanceof ThriftMethod.At at ? paths.add(at.path()) : -1)
                    .toArray();
        }

        String value(int which, ThriftMethod.Figure figure, String[] found) {
            return slots[which] >= 0
                    ? found[slots[which]]
                    : figure instanceof ThriftMethod.Fixed fixed ? fixed.value() : null;
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Balancer.RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private final boolean refuseUnknown;
    private final String idPrefix;
    private long nextId;

    /**
     * Makes a reader for a listener.
     *
     * @param idPrefix makes the ids that are made here differ from those of other listeners
     */
    CallReader(Balancer.Settings settings, ThriftOptions options, String idPrefix) {
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.tenants().forEach(t -> tenants.add(t.name()));
        options.methods().forEach(m -> entries.add(new Entry(m, classes.get(m.requestClass()))));
        this.refuseUnknown = options.refuseUnknown();
        this.idPrefix = idPrefix;
    }

    /**
     * Reads a call whose frame is whole.
     *
     * @param firstByteAt when its client's patience began, as far as can be known
     * @throws BadFrame if its arguments can't be read
     * @throws Rejected if they can, and it can't be passed on
     */
    Read read(Message message, ByteBuf frame, long firstByteAt) throws BadFrame, Rejected {
        Entry entry = null;
        for (Entry e : entries) {
            if (entry == null && e.method.matches(message.name())) {
                entry = e;
            }
        }
        String[] found = StructWalk.walk(frame, message, entry == null ? FieldPaths.NONE : entry.paths);
        if (entry == null) {
            throw new Rejected(ThriftOutcomes.UNKNOWN_METHOD, refuseUnknown, "unknown method " + message.name());
        }
        ThriftMethod method = entry.method;
        String tenant = null;
        if (!tenants.isEmpty()) {
            tenant = entry.value(0, method.tenant(), found);
            if (tenant == null || !tenants.contains(tenant)) {
                throw new Rejected(ThriftOutcomes.PROTOCOL_ERROR, false, "unknown tenant " + tenant);
            }
        }
        String key = entry.value(1, method.key(), found);
        if (entry.type.effect() == Balancer.Effect.KEYED && (key == null || key.isEmpty())) {
            throw new Rejected(ThriftOutcomes.PROTOCOL_ERROR, false, "missing key");
        }
        String clientId = entry.value(4, method.requestId(), found);
        boolean identified = clientId != null && !clientId.isEmpty();
        long patienceUs = patienceUs(entry, entry.value(3, method.timeoutMs(), found));
        long deadline = ClientFront.deadline(firstByteAt, patienceUs);
        var call = new ThriftCall(message, frame);
        return new Read(
                new Request(
                        identified ? clientId : idPrefix + nextId++,
                        identified ? Request.IdOrigin.CLIENT : Request.IdOrigin.PROXY,
                        method.requestClass(),
                        tenant,
                        entry.value(2, method.about(), found),
                        retried(entry.value(5, method.retried(), found)),
                        deadline,
                        0,
                        call),
                method);
    }

    private static boolean retried(String value) {
        return value != null && !value.isEmpty() && !value.equals("0") && !value.equals("false");
    }

    private static long patienceUs(Entry entry, String ms) throws Rejected {
        if (ms == null) {
            return entry.type.deadlineUs();
        }
        try {
            long value = Long.parseLong(ms);
            if (value > 0 && value <= MOST_PATIENCE_MS) {
                return 1_000 * value;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new Rejected(ThriftOutcomes.PROTOCOL_ERROR, false, "bad time-out " + ms);
    }
}
