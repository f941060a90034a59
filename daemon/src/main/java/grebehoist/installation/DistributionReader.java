package grebehoist.installation;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The tables {@code [distribution]} and {@code [[distribution.control]]}: docs/distribution.md. */
final class DistributionReader {
    private static final String CONTROL = "control";
    private static final Set<String> ROLES = Set.of("proxy", CONTROL);
    private static final int MOST_MACHINES = 64;
    /** A number of 16 bits names each machine and each proxy. */
    private static final int MOST_MEMBERS = 65_535;

    private static final int MOST_SCOPES = 2_000;
    private static final int SCOPE_BYTES = 24;

    private DistributionReader() {}

    static Installation.DistributionEntry read(TomlTable t) {
        String role = t.word("role", ROLES);
        InetSocketAddress listen = t.address("listen");
        List<Installation.ControlEntry> machines = machines(t);
        int number = 0;
        List<String> scopes = List.of();
        InetSocketAddress door = null;
        if (role.equals(CONTROL)) {
            t.absent("number", "a machine's is its place among [[distribution.control]]");
            t.absent("scopes", "only role = \"proxy\" has it: what a machine holds follows from the names");
            t.absent("door", "a machine's is in [[distribution.control]]");
            number = place(t, listen, machines);
            door = number < 0 ? null : machines.get(number).door();
        } else if (!role.isEmpty()) {
            number = (int) t.whole("number", null, 0, MOST_MEMBERS - 1L - machines.size());
            scopes = scopes(t);
            door = t.text("door", "").isEmpty() ? null : t.address("door");
        }
        List<Installation.KeyEntry> keys = KeyReader.read(t, "[[distribution.key]]");
        t.done();
        return new Installation.DistributionEntry(role.equals(CONTROL), listen, number, scopes, door, machines, keys);
    }

    private static int place(TomlTable t, InetSocketAddress listen, List<Installation.ControlEntry> machines) {
        for (int i = 0; i < machines.size(); i++) {
            if (listen != null && listen.equals(machines.get(i).address())) {
                return i;
            }
        }
        if (listen != null) {
            t.problem("listen", "it is no [[distribution.control]]'s 'address'");
        }
        return -1;
    }

    private static List<Installation.ControlEntry> machines(TomlTable t) {
        var machines = new ArrayList<Installation.ControlEntry>();
        var taken = new HashSet<InetSocketAddress>();
        var doors = new HashSet<InetSocketAddress>();
        List<TomlTable> tables = t.tables(CONTROL, t.where() + " / [[distribution.control]]", true);
        for (TomlTable m : tables) {
            InetSocketAddress address = m.address("address");
            InetSocketAddress door = m.address("door");
            String zone = m.text("zone");
            if (address != null && !taken.add(address)) {
                m.problem("address", "another [[distribution.control]] has it already");
            }
            if (door != null && !doors.add(door)) {
                m.problem("door", "another [[distribution.control]] has it already");
            }
            m.done();
            machines.add(new Installation.ControlEntry(address, door, zone));
        }
        if (tables.size() > MOST_MACHINES) {
            t.problem(CONTROL, MOST_MACHINES + " at most, not " + tables.size());
        }
        return machines;
    }

    private static List<String> scopes(TomlTable t) {
        List<String> scopes = t.texts("scopes", 1, MOST_SCOPES);
        var seen = new HashSet<String>();
        for (String scope : scopes) {
            int bytes = scope.getBytes(StandardCharsets.UTF_8).length;
            if (bytes == 0 || bytes > SCOPE_BYTES) {
                t.problem("scopes", "'" + scope + "': 1 to " + SCOPE_BYTES + " bytes are wanted, not " + bytes);
            } else if (!seen.add(scope)) {
                t.problem("scopes", "'" + scope + "' stands there twice");
            }
        }
        return scopes;
    }
}
