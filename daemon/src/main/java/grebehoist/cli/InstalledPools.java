package grebehoist.cli;

import grebehoist.config.Config;
import grebehoist.installation.Installation;
import grebehoist.net.Front;
import grebehoist.peers.PeerSettings;
import grebehoist.pool.Pool;
import grebehoist.tasks.TaskSpec;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The pools and listeners of an installation file. Loaded only where the command line names one. */
final class InstalledPools {
    private final Installation installation;

    private InstalledPools(Installation installation) {
        this.installation = installation;
    }

    /** Reads the file; what is wrong with it is a bad configuration, all of it. */
    static InstalledPools read(Path file) throws Config.BadConfig {
        try {
            return new InstalledPools(Installation.read(file));
        } catch (Installation.BadInstallation e) {
            throw new Config.BadConfig("\n" + e.getMessage());
        }
    }

    /** Says whether a file is good: exit code 0, or 2 with a line for each error. */
    static int check(Path file) {
        try {
            System.out.println(file + ": good, " + Installation.read(file).summary());
            return 0;
        } catch (Installation.BadInstallation e) {
            e.problems().forEach(System.err::println);
            return 2;
        }
    }

    String name() {
        return installation.name();
    }

    int sockets() {
        return installation.sockets();
    }

    /** Returns what it says of other proxies, or null where that is nothing. */
    PeerSettings peers() {
        return installation.membership() == null
                ? null
                : Members.of(installation.name(), installation.membership(), installation.lease());
    }

    /** Returns what it says of the distribution of configuration, or null. */
    Installation.DistributionEntry distribution() {
        return installation.distribution();
    }

    /** Returns whether this process has something else to do than to serve: it is a machine that is set aside. */
    boolean servesNobody() {
        return installation.distribution() != null
                && installation.distribution().control();
    }

    /** Returns the tasks of the fleet. */
    List<TaskSpec> tasks() {
        return installation.lease() == null ? List.of() : installation.lease().tasks();
    }

    /** Starts what can be started, and says what can't; returns the number of listeners. */
    int start(Serve serve) {
        Map<String, Pool> pools = new HashMap<>();
        for (Installation.PoolEntry p : installation.pools()) {
            try {
                pools.put(
                        p.name(),
                        serve.add(new Pool.Spec(
                                p.name(),
                                Pool.Protocol.valueOf(p.protocol().toUpperCase(Locale.ROOT)),
                                p.settings(),
                                p.discovery(),
                                p.connIdleUs(),
                                p.connectTimeoutUs(),
                                p.maxFrame())));
            } catch (RuntimeException e) {
                serve.tell("pool " + p.name() + " does not start: " + e);
            }
        }
        int started = 0;
        for (Installation.ListenerEntry l : installation.listeners()) {
            Pool pool = pools.get(l.pool());
            if (pool != null) {
                Front front = l.thrift() == null
                        ? pool.httpFront(() -> pool.ready() && serve.settled())
                        : pool.thriftFront(l.thrift(), l.name() + "-");
                started += serve.add(l.name(), pool, front, l.address()) == null ? 0 : 1;
            }
        }
        return started;
    }
}
