package grebehoist.trial.distribution;

import grebehoist.fleet.distribution.Answer;
import grebehoist.fleet.distribution.Call;
import grebehoist.fleet.distribution.Item;
import grebehoist.fleet.distribution.Writer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Somebody who makes changes, one after the other, each another one; and who goes on with an old epoch where another writer has come meanwhile. */
final class VirtualWriter {
    private static final long S = 1_000_000;
    private static final int TRIES = 4;
    private static final int KEYS = 6;
    private static final int BURST_BYTES = 90;

    private final VirtualDistribution fleet;
    private final int host;
    private final List<String> scopes;
    private final Map<String, Writer> writers = new HashMap<>();
    private int made;
    private int tries;
    private int burst;
    private boolean stopped;
    private int taken;
    private String scope;
    private Item change;
    private Writer.Result result;
    /** Whose result is waited for. */
    private Writer busy;

    VirtualWriter(VirtualDistribution fleet, int host, List<String> scopes) {
        this.fleet = fleet;
        this.host = host;
        this.scopes = scopes;
    }

    int taken() {
        return taken;
    }

    Writer.Result result() {
        return result;
    }

    void stop() {
        stopped = true;
    }

    /** Creates its scope. */
    void create() {
        scope = scopes.get(0);
        stopped = true;
        carry(writer(), writer().create(0));
    }

    /** Makes one change, and tries often. */
    void one() {
        stopped = true;
        tries = -20;
        next();
    }

    void burst(int changes) {
        burst = changes;
    }

    /** Makes one change after the other. */
    void work() {
        if (stopped) {
            return;
        }
        tries = 0;
        next();
    }

    private Writer writer() {
        return writers.computeIfAbsent(scope, s -> new Writer(fleet.layout(), s, fleet.nextEpoch(), fleet.rules()));
    }

    private void next() {
        scope = scopes.get(burst > 0 ? 0 : fleet.random().nextInt(scopes.size()));
        made++;
        boolean remove = burst == 0 && fleet.random().nextInt(3) == 0;
        // A removal has no value: its kind has to tell it from others.
        byte[] value = (host + "-" + made + "-" + fleet.now()).getBytes(StandardCharsets.UTF_8);
        String key = burst > 0 ? "burst" + made : "k" + fleet.random().nextInt(KEYS);
        change = new Item(
                remove ? fleet.nextRemoval() : 2,
                scope,
                key,
                remove ? null : burst > 0 ? Arrays.copyOf(value, BURST_BYTES) : value,
                1);
        carry(writer(), writer().change(change.kind(), key, change.value()));
    }

    private void carry(Writer writer, List<Call> calls) {
        busy = writer;
        for (Call call : calls) {
            fleet.call(host, call, answer -> back(writer, call, answer));
        }
        finish(writer);
    }

    private void back(Writer writer, Call call, Answer answer) {
        List<Call> more = answer == null ? writer.gaveUp(call) : writer.answered(call, answer);
        for (Call c : more) {
            fleet.call(host, c, a -> back(writer, c, a));
        }
        finish(writer);
    }

    private void finish(Writer writer) {
        // What is answered to calls that only tell comes when the next change may have begun.
        if (writer != busy || writer.result() == null) {
            return;
        }
        busy = null;
        result = writer.result();
        if (change == null) {
            if (!(result instanceof Writer.Taken)) {
                fleet.referee().found("not created", fleet.now(), scope + ": " + result);
            }
            return;
        }
        if (result instanceof Writer.Unknown && ++tries < TRIES) {
            fleet.at(fleet.now() + fleet.random().nextLong(S / 5, S), () -> carry(writer, writer.retry()));
            return;
        }
        tell(writer);
        burst = Math.max(0, burst - 1);
        long pause = burst > 0 ? 1_000 : fleet.random().nextLong(S / 20, S);
        fleet.at(fleet.now() + pause, this::work);
    }

    private void tell(Writer writer) {
        if (result instanceof Writer.Taken t) {
            taken++;
            fleet.taken(new Item(change.kind(), scope, change.key(), change.value(), t.version()));
        } else if (result instanceof Writer.Refused) {
            fleet.referee().refused(fleet.now(), change);
            // Another writer has come: it begins anew, in a later epoch, sooner or later.
            if (fleet.random().nextBoolean()) {
                writers.remove(scope, writer);
            }
        } else {
            fleet.referee().count("unknown");
            if (fleet.random().nextBoolean()) {
                writers.remove(scope, writer);
            }
        }
    }
}
