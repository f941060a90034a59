package grebehoist.peers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.JsonLines;
import grebehoist.fleet.lease.LeaseChange;
import grebehoist.fleet.membership.Change;
import grebehoist.fleet.membership.Membership;
import java.io.PrintStream;
import java.util.Locale;

/**
 * A line of JSON for each change. Used by the loop's thread.
 */
final class ChangeLog {
    private final JsonLines lines;
    private final String name;
    private final Names names;

    /** Says what a member is called. */
    interface Names {
        String of(int member);
    }

    ChangeLog(PrintStream to, String name, Names names) {
        this.lines = new JsonLines(to, name);
        this.name = name;
        this.names = names;
    }

    void tell(Change change, Membership membership) {
        if (change instanceof Change.Viewed v) {
            ObjectNode line = line("view")
                    .put("of", names.of(v.member()))
                    .put("member", v.member())
                    .put("state", v.state().name().toLowerCase(Locale.ROOT))
                    .put("incarnation", v.incarnation());
            ArrayNode reach = line.putArray("reach");
            membership.notReachedBy(v.member()).forEach(reach::add);
            v.doubters().forEach(d -> line.withArray("doubters").add(names.of(d)));
            write(line.put("why", v.why()));
        } else if (change instanceof Change.Reaches r) {
            ObjectNode line = line("reach").put("of", names.of(r.reach().by()));
            r.reach().members().forEach(m -> line.withArray("members").add(names.of(m)));
            r.reach().zones().forEach(z -> line.withArray("zones").add(z));
            write(line);
        } else if (change instanceof Change.Count c) {
            write(line("count")
                    .put("members", c.members())
                    .put("shared_by", c.sharedBy())
                    .put("rank", c.rank()));
        } else if (change instanceof Change.Away a) {
            write(line("away").put("for_us", a.forUs()));
        } else if (change instanceof Change.Present p) {
            write(line("present").put("is", p.is()));
        } else if (change instanceof Change.CutOff c) {
            write(line("cut_off").put("is", c.is()));
        } else if (change instanceof Change.NotHeard n) {
            write(line("not_heard").put("is", n.is()));
        } else if (change instanceof Change.Twin t) {
            write(line("twin").put("of", names.of(t.member())).put("why", t.why()));
        }
    }

    /** Of a task: {@code from_us} and {@code until_us} are on the clock of {@code t_us}. */
    void tell(LeaseChange change, String task, long nowUs) {
        if (change instanceof LeaseChange.Held h) {
            ObjectNode line =
                    line("holding").put("task", task).put("holder", name).put("token", h.token());
            long from = line.path("t_us").asLong();
            write(line.put("from_us", from).put("until_us", from + h.untilUs() - nowUs));
        } else if (change instanceof LeaseChange.Ended e) {
            write(line("holding_ended")
                    .put("task", task)
                    .put("holder", name)
                    .put("token", e.token())
                    .put("why", e.why().name().toLowerCase(Locale.ROOT)));
        }
    }

    /** A line that somebody else has made, but for time and names. */
    void tell(ObjectNode made) {
        ObjectNode line = line(made.path("what").asText());
        line.setAll(made);
        write(line);
    }

    private ObjectNode line(String what) {
        return lines.line(what);
    }

    private void write(ObjectNode line) {
        lines.write(line);
    }
}
