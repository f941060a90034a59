package grebehoist.installation;

import beechfall.Balancer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import grebehoist.config.Json;
import grebehoist.net.Addresses;
import grebehoist.tasks.TaskSpec;
import grebehoist.thrift.ThriftOptions;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * The installation file: the pools and listeners that the platform's configuration does not tell of. docs/installation.md
 * is its page. Loaded only where the command line names a file.
 *
 * @param name of the process, for its log
 * @param sockets the descriptors that the process may hold
 * @param membership null where this process is to speak to no other proxies
 * @param lease null where the fleet has no tasks
 * @param distribution null where no configuration is distributed
 */
public record Installation(
        String name,
        int sockets,
        List<PoolEntry> pools,
        List<ListenerEntry> listeners,
        MembershipEntry membership,
        LeaseEntry lease,
        DistributionEntry distribution) {
    /** A pool: backends that share a list and settings. */
    public record PoolEntry(
            String name,
            String protocol,
            InetSocketAddress discovery,
            Balancer.Settings settings,
            long connIdleUs,
            long connectTimeoutUs,
            int maxFrame) {}

    /** An address at which clients of a pool connect; {@code thrift} is null where it is not Thrift that they speak. */
    public record ListenerEntry(
            String name, String protocol, InetSocketAddress address, String pool, ThriftOptions thrift) {}

    /** The other proxies of a fleet, and the keys that they share: docs/membership.md. */
    public record MembershipEntry(
            InetSocketAddress listen,
            int number,
            List<InetSocketAddress> peers,
            String zone,
            long pauseUs,
            List<KeyEntry> keys) {}

    /** The tasks of the fleet and who grants them: docs/leases.md. */
    public record LeaseEntry(int set, List<Integer> voters, long leaseUs, List<TaskSpec> tasks) {}

    /**
     * Configuration that changes while the fleet runs: docs/distribution.md.
     *
     * @param control whether this process is one of the machines set aside for it, not a proxy
     * @param number a machine's among the machines, or a proxy's among the proxies
     * @param scopes what a proxy is to hold; empty for a machine
     * @param door where operators call, or null
     */
    public record DistributionEntry(
            boolean control,
            InetSocketAddress listen,
            int number,
            List<String> scopes,
            InetSocketAddress door,
            List<ControlEntry> machines,
            List<KeyEntry> keys) {}

    /** A machine that is set aside for distribution: where it gets datagrams, where the writer calls it, and where it is. */
    public record ControlEntry(InetSocketAddress address, InetSocketAddress door, String zone) {}

    /** A key, in hexadecimal. */
    public record KeyEntry(int id, String secret) {}

    /** A file that nothing can run with: all that is wrong with it, each with file, table and key. */
    public static final class BadInstallation extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<String> problems;

        BadInstallation(List<String> problems) {
            super(String.join("\n", problems));
            this.problems = List.copyOf(problems);
        }

        /** Returns one line for each error. */
        public List<String> problems() {
            return problems;
        }
    }

    private static final int MOST_MEMBERS = 2_000;
    private static final int MOST_VOTERS = 7;
    private static final int MOST_TASKS = 200;
    private static final Set<String> PROTOCOLS = Set.of("http", "thrift");
    private static final Map<String, Balancer.Effect> EFFECTS =
            Map.of("safe", Balancer.Effect.SAFE, "keyed", Balancer.Effect.KEYED, "unsafe", Balancer.Effect.UNSAFE);
    private static final Map<String, Balancer.Scope> SCOPES =
            Map.of("all", Balancer.Scope.ALL, "zone", Balancer.Scope.ZONE, "cell", Balancer.Scope.CELL);
    private static final Map<String, Boolean> MODES = Map.of("ask", true, "push", false);
    private static final long MOST_MS = 24 * 3_600_000L;
    private static final int LEAST_SOCKETS = 128;
    private static final int HTTP_BODY = 64 * 1024;
    private static final int MOST_FRAME = 16 * 1024 * 1024;

    /** Takes the lists over. */
    public Installation {
        pools = List.copyOf(pools);
        listeners = List.copyOf(listeners);
    }

    /**
     * Reads and checks a file.
     *
     * @throws BadInstallation with all that is wrong
     */
    public static Installation read(Path file) throws BadInstallation {
        JsonNode root;
        try (InputStream toml = Files.newInputStream(file)) {
            root = Json.read(new TomlFactory().createParser(toml));
        } catch (JsonProcessingException e) {
            var at = e.getLocation();
            throw new BadInstallation(
                    List.of(file + (at == null ? "" : ": line " + at.getLineNr() + ", column " + at.getColumnNr())
                            + ": not TOML: " + e.getOriginalMessage()));
        } catch (IOException e) {
            throw new BadInstallation(List.of(file + ": cannot be read: " + e));
        }
        var problems = new ArrayList<String>();
        Installation read = new Reader(file.toString(), problems).read(root);
        if (!problems.isEmpty()) {
            throw new BadInstallation(problems);
        }
        return read;
    }

    /** Goes through the whole file, whatever it finds. */
    private record Reader(String file, List<String> problems) {
        Installation read(JsonNode root) {
            var top = new TomlTable(file, "", root, problems);
            TomlTable process = top.table("process");
            String name = process.text("name", "grebehoist");
            int sockets = (int) process.whole("sockets", 1_024L, LEAST_SOCKETS, 1 << 20);
            process.done();
            var pools = new ArrayList<PoolEntry>();
            TomlTable members = top.optionalTable("membership");
            TomlTable distributed = top.optionalTable("distribution");
            // A process of the platform's may have a file for what it does with others alone; a machine that is set
            // aside has no pool.
            boolean alone = members == null && distributed == null;
            top.tables("pool", "[[pool]]", alone).forEach(t -> pools.add(pool(t)));
            ThriftReader thrift = ThriftReader.read(top.table("thrift"), pools);
            var listeners = new ArrayList<ListenerEntry>();
            var listenerTables = top.tables("listener", "[[listener]]", alone);
            listenerTables.forEach(t -> listeners.add(listener(t, pools, thrift)));
            MembershipEntry membership = members == null ? null : membership(members);
            TomlTable leases = top.optionalTable("lease");
            var taskTables = top.tables("task", "[[task]]", leases != null);
            LeaseEntry lease = leases == null ? null : lease(leases, taskTables, membership);
            if (leases == null && !taskTables.isEmpty()) {
                problems.add(file + ": [[task]]: there is no [lease], so nobody can hold one");
            }
            DistributionEntry distribution = distributed == null ? null : DistributionReader.read(distributed);
            top.done();
            unique("[[pool]]", pools.stream().map(PoolEntry::name).toList());
            unique("[[listener]]", listeners.stream().map(ListenerEntry::name).toList());
            for (int i = 0; i < listeners.size(); i++) {
                agree(listenerTables.get(i), listeners.get(i), pools, listeners.subList(0, i));
            }
            for (PoolEntry pool : pools) {
                if (!pool.name().isEmpty()
                        && listeners.stream().noneMatch(l -> l.pool().equals(pool.name()))) {
                    problems.add(file + ": [[pool]] \"" + pool.name() + "\": no [[listener]] has pool = \""
                            + pool.name() + "\"");
                }
            }
            return new Installation(name, sockets, pools, listeners, membership, lease, distribution);
        }

        private static MembershipEntry membership(TomlTable t) {
            InetSocketAddress listen = t.address("listen");
            var peers = new ArrayList<InetSocketAddress>();
            for (String text : t.texts("peers", 2, MOST_MEMBERS)) {
                InetSocketAddress peer = Addresses.parse(text);
                if (peer == null) {
                    t.problem("peers", "'" + text + "' is no numeric address and port");
                } else if (peers.contains(peer)) {
                    t.problem("peers", "'" + text + "' stands there twice");
                }
                peers.add(peer);
            }
            long number = t.whole("number", (long) peers.indexOf(listen), 0, MOST_MEMBERS);
            if (number < 0) {
                t.problem("number", "missing, and 'listen' is none of 'peers'");
            } else if (number >= peers.size() && !peers.isEmpty()) {
                t.problem("number", "there are " + peers.size() + " 'peers', counted from 0");
            }
            String zone = t.text("zone", "");
            long pauseUs = us(t.whole("pause_ms", 5_000L, 200, 600_000));
            List<KeyEntry> keys = KeyReader.read(t, "[[membership.key]]");
            t.done();
            return new MembershipEntry(listen, (int) number, peers, zone, pauseUs, keys);
        }

        private LeaseEntry lease(TomlTable t, List<TomlTable> tables, MembershipEntry membership) {
            if (membership == null) {
                t.problem("voters", "there is no [membership] whose numbers they could be");
            }
            int members = membership == null ? MOST_MEMBERS : membership.peers().size();
            var voters = new ArrayList<Integer>();
            for (long voter : t.wholes("voters", 1, MOST_VOTERS, 0, members - 1L)) {
                if (voters.contains((int) voter)) {
                    t.problem("voters", voter + " stands there twice");
                }
                voters.add((int) voter);
            }
            if (voters.size() % 2 == 0 && !voters.isEmpty()) {
                t.problem(
                        "voters",
                        "3, 5 or 7 are wanted: " + voters.size() + " bear no more deaths than " + (voters.size() - 1));
            }
            int set = (int) t.whole("set", 1L, 0, Integer.MAX_VALUE);
            long leaseUs = us(t.whole("lease_ms", 2_000L, 500, 600_000));
            t.done();
            var tasks = new ArrayList<TaskSpec>();
            for (TomlTable k : tables) {
                tasks.add(task(k, leaseUs));
            }
            unique("[[task]]", tasks.stream().map(TaskSpec::name).toList());
            if (tasks.size() > MOST_TASKS) {
                t.problem("task", MOST_TASKS + " at most, not " + tasks.size());
            }
            return new LeaseEntry(set, voters, leaseUs, tasks);
        }

        private static TaskSpec task(TomlTable t, long leaseUs) {
            String name = t.text("name");
            Boolean fenced = t.word("class", Map.of("fenced", true, "timed", false), null);
            InetSocketAddress to = t.address("call");
            String path = t.text("path", "/");
            if (!path.startsWith("/")) {
                t.problem("path", "'" + path + "' does not begin with '/'");
            }
            long everyUs = us(t.whole("every_ms", null, 10, MOST_MS));
            long actUs = us(t.whole("act_ms", null, 1, MOST_MS));
            if (Boolean.FALSE.equals(fenced) && actUs > leaseUs / 2) {
                t.problem("act_ms", "a timed call has to be over within half of 'lease_ms'");
            }
            t.done();
            return new TaskSpec(name, Boolean.TRUE.equals(fenced), to, path, everyUs, actUs);
        }

        private void unique(String table, List<String> names) {
            var seen = new HashSet<String>();
            var twice = new TreeSet<String>();
            names.stream().filter(n -> !n.isEmpty() && !seen.add(n)).forEach(twice::add);
            twice.forEach(n ->
                    problems.add(file + ": " + table + " \"" + n + "\": key 'name': there are several of this name"));
        }

        private void agree(TomlTable table, ListenerEntry listener, List<PoolEntry> pools, List<ListenerEntry> before) {
            PoolEntry pool = pools.stream()
                    .filter(p -> p.name().equals(listener.pool()))
                    .findFirst()
                    .orElse(null);
            if (pool == null && !listener.pool().isEmpty()) {
                table.problem("pool", "there is no [[pool]] \"" + listener.pool() + "\"");
            } else if (pool != null
                    && !pool.protocol().isEmpty()
                    && !listener.protocol().isEmpty()
                    && !pool.protocol().equals(listener.protocol())) {
                table.problem("protocol", "pool \"" + pool.name() + "\" speaks \"" + pool.protocol() + "\"");
            }
            if (listener.address() != null
                    && listener.address().getPort() != 0
                    && before.stream().anyMatch(l -> listener.address().equals(l.address()))) {
                table.problem("address", "another [[listener]] has it already");
            }
        }

        private static ListenerEntry listener(TomlTable t, List<PoolEntry> pools, ThriftReader thrift) {
            String name = t.text("name");
            String protocol = t.word("protocol", PROTOCOLS);
            InetSocketAddress address = t.address("address");
            String pool = t.text("pool");
            PoolEntry entry = pools.stream()
                    .filter(p -> p.name().equals(pool))
                    .findFirst()
                    .orElse(null);
            ThriftOptions options = protocol.equals("thrift") ? thrift.options(t, entry) : null;
            t.done();
            return new ListenerEntry(name, protocol, address, pool, options);
        }

        private PoolEntry pool(TomlTable t) {
            String name = t.text("name");
            String protocol = t.word("protocol", PROTOCOLS);
            InetSocketAddress discovery = t.address("discovery");
            boolean asked = Boolean.TRUE.equals(t.word("discovery_mode", MODES, true));
            int balancers = (int) t.whole("balancers", 1L, 1, 1 << 20);
            int rank = (int) t.whole("rank", 0L, 0, 1 << 20);
            if (rank >= balancers) {
                t.problem("rank", rank + " is not below 'balancers', " + balancers);
            }
            String zone = t.text("zone", "");
            var classes = new ArrayList<Balancer.RequestClass>();
            for (TomlTable c : t.tables("class", t.where() + " / [[pool.class]]", true)) {
                Balancer.RequestClass read = requestClass(c);
                if (read != null) {
                    classes.add(read);
                }
            }
            var tenants = new ArrayList<Balancer.Tenant>();
            for (TomlTable c : t.tables("tenant", t.where() + " / [[pool.tenant]]", false)) {
                String tenant = c.text("name");
                double quota = c.number("quota_per_s", null, 0, 1e9);
                c.done();
                if (!tenant.isEmpty()) {
                    tenants.add(new Balancer.Tenant(tenant, quota));
                }
            }
            unique(
                    t.where() + " / [[pool.class]]",
                    classes.stream().map(Balancer.RequestClass::name).toList());
            unique(
                    t.where() + " / [[pool.tenant]]",
                    tenants.stream().map(Balancer.Tenant::name).toList());
            double overShare = t.number("over_share_worth", tenants.isEmpty() ? 1 : 0.05, 0, 1);
            var limits = new Balancer.Limits(
                    t.flag("cancel", true),
                    false,
                    false,
                    asked,
                    (int) t.whole("max_attempts", 4L, 1, 100),
                    us(t.whole("max_retry_after_ms", 2_000L, 0, MOST_MS)));
            Balancer.Rules rules = rules(t);
            long tickUs = us(t.whole("tick_ms", 4L, 0, 1_000));
            long idleUs = us(t.whole("conn_idle_ms", 15_000L, 10, MOST_MS));
            long connectUs = us(t.whole("connect_timeout_ms", 200L, 1, 60_000));
            long seed = seed(t);
            int maxFrame = HTTP_BODY;
            if (protocol.equals("thrift")) {
                maxFrame = (int) t.whole("max_frame", (long) HTTP_BODY, 64, MOST_FRAME);
            } else {
                t.absent("max_frame", "only a pool with protocol = \"thrift\" has it");
            }
            t.done();
            // What could not be read is told; the rest of the file is read on as if it were not there.
            Balancer.Settings settings = classes.isEmpty()
                    ? null
                    : new Balancer.Settings(
                            balancers, rank, zone, tickUs, classes, tenants, overShare, false, limits, rules, seed);
            return new PoolEntry(name, protocol, discovery, settings, idleUs, connectUs, maxFrame);
        }

        private static Balancer.Rules rules(TomlTable pool) {
            TomlTable t = pool.table("rules");
            var rules = new Balancer.Rules(
                    t.number("cold_from", null, 0.001, 1),
                    us(t.whole("cold_ms", null, 0, MOST_MS)),
                    t.number("fall_multiple", null, 0.001, 1e6),
                    us(t.whole("fall_ms", null, 1, MOST_MS)),
                    us(pool.whole("ask_within_ms", 10_000L, 100, MOST_MS)),
                    t.flag("full_unproven", false));
            t.done();
            return rules;
        }

        private static long seed(TomlTable t) {
            String text = t.text("seed", "");
            if (!text.isEmpty() && !text.matches("[0-9a-fA-F]{1,16}")) {
                t.problem("seed", "'" + text + "' is no hexadecimal number of 64 bits");
            }
            return text.matches("[0-9a-fA-F]{1,16}") ? Long.parseUnsignedLong(text, 16) : new Random().nextLong();
        }

        private static Balancer.RequestClass requestClass(TomlTable t) {
            String name = t.text("name");
            Balancer.Effect effect = t.word("effect", EFFECTS, null);
            long aimUs = us(t.whole("aim_ms", null, 1, MOST_MS));
            long deadlineUs = us(t.whole("deadline_ms", null, 1, MOST_MS));
            double worth = t.number("worth", 1.0, 0, 1e9);
            double lateWorth = t.number("late_worth", 0.0, 0, 1);
            Balancer.Scope scope = Balancer.Scope.ALL;
            long windowUs = 0;
            if (effect == Balancer.Effect.KEYED) {
                scope = t.word("scope", SCOPES, null);
                windowUs = us(t.whole("window_ms", null, 0, MOST_MS));
            } else if (effect != null) {
                t.absent("scope", "only a class with effect = \"keyed\" has it");
                t.absent("window_ms", "only a class with effect = \"keyed\" has it");
            }
            if (deadlineUs < aimUs) {
                t.problem("deadline_ms", "it is before 'aim_ms'");
            }
            t.done();
            return name.isEmpty() || effect == null || scope == null
                    ? null
                    : new Balancer.RequestClass(name, aimUs, deadlineUs, worth, lateWorth, effect, scope, windowUs);
        }

        private static long us(long ms) {
            return 1_000 * ms;
        }
    }

    /** Returns one line for a person. */
    public String summary() {
        String served = String.format(Locale.ROOT, "%d pools, %d listeners", pools.size(), listeners.size());
        return distribution == null
                ? served
                : served
                        + (distribution.control()
                                ? String.format(
                                        Locale.ROOT,
                                        ", control machine %d of %d",
                                        distribution.number(),
                                        distribution.machines().size())
                                : String.format(
                                        Locale.ROOT,
                                        ", %d scopes of %d control machines",
                                        distribution.scopes().size(),
                                        distribution.machines().size()));
    }
}
