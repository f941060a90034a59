package grebehoist.search;

import beechfall.Balancer.RequestClass;
import grebehoist.pool.Pool;
import grebehoist.testkit.HttpWire;
import grebehoist.testkit.StandInWire;
import grebehoist.testkit.ThriftWire;
import grebehoist.thrift.ThriftMethod;
import grebehoist.thrift.ThriftMethod.At;
import grebehoist.thrift.ThriftOptions;
import java.util.List;

/** What clients and backends of a script speak; what its variants are, its seed says. */
enum Protocol {
    HTTP(Pool.Protocol.HTTP),
    /** Some bodies and answers are long, or come slowly and in pieces. */
    HTTP_LONG(Pool.Protocol.HTTP),
    /** One call at a time on a connection and none that is oneway: what HTTP can do, and nothing else. */
    THRIFT_AS_HTTP(Pool.Protocol.THRIFT),
    /** Several calls open on a connection, in order or not, and oneway calls among them. */
    THRIFT(Pool.Protocol.THRIFT);

    /** As long as an HTTP client's connection stands idle. */
    private static final long IDLE_US = 2_200_000;

    private static final int MOST_OPEN = 4;
    /** Fewer than clients may have open on a connection, on some seeds: reading stops, and nothing may be lost by it. */
    private static final int FEW_OPEN = 2;

    private static final long MOST_BYTES = 1 << 20;

    private final Pool.Protocol pool;

    Protocol(Pool.Protocol pool) {
        this.pool = pool;
    }

    Pool.Protocol pool() {
        return pool;
    }

    double onewayShare() {
        return this == THRIFT ? 0.2 : 0;
    }

    private static boolean inOrder(long seed) {
        return seed % 2 == 0;
    }

    private static int maxOpen(long seed) {
        return seed % 5 == 0 ? FEW_OPEN : 2 * MOST_OPEN;
    }

    StandInWire wire(long seed) {
        ThriftWire.Kind kind = ThriftWire.Kind.values()[(int) Math.floorMod(seed / 2, 3L)];
        return switch (this) {
            case HTTP -> new HttpWire();
            case HTTP_LONG -> new HttpWire(true);
            case THRIFT_AS_HTTP -> new ThriftWire(kind, 1, maxOpen(seed), inOrder(seed));
            case THRIFT -> new ThriftWire(kind, MOST_OPEN, maxOpen(seed), inOrder(seed));
        };
    }

    /** Returns what a Thrift listener is told, or null for one that speaks HTTP. */
    ThriftOptions options(long seed, List<RequestClass> classes, int maxFrame) {
        if (pool == Pool.Protocol.HTTP) {
            return null;
        }
        List<ThriftMethod> methods = classes.stream()
                .map(c -> new ThriftMethod(
                        c.name() + "*",
                        c.name(),
                        new At("2.1"),
                        c.effect() == beechfall.Balancer.Effect.KEYED ? new At("2.3") : null,
                        new At("2.2"),
                        new At("4"),
                        new At("1"),
                        new At("5"),
                        null))
                .toList();
        return new ThriftOptions(
                methods, false, maxFrame, !inOrder(seed), maxOpen(seed), MOST_BYTES, MOST_BYTES, MOST_BYTES, IDLE_US);
    }
}
