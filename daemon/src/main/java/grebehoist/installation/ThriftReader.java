package grebehoist.installation;

import beechfall.Balancer;
import grebehoist.thrift.ThriftMethod;
import grebehoist.thrift.ThriftOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The tables {@code [thrift]} and {@code [[thrift.method]]}, and what a Thrift listener is told. */
final class ThriftReader {
    private static final long MS = 1_000;
    private static final long MIB = 1 << 20;

    /** A method, and the pool that it is for, or null for all that speak Thrift. */
    private record Method(String pool, ThriftMethod method) {}

    private final List<Method> methods = new ArrayList<>();
    private final boolean refuseUnknown;

    private ThriftReader(boolean refuseUnknown) {
        this.refuseUnknown = refuseUnknown;
    }

    static ThriftReader read(TomlTable thrift, List<Installation.PoolEntry> pools) {
        boolean refuse =
                Boolean.TRUE.equals(thrift.word("unknown_method", Map.of("fail", false, "refuse", true), false));
        var reader = new ThriftReader(refuse);
        for (TomlTable t : thrift.tables("method", "[[thrift.method]]", false)) {
            reader.method(t, pools);
        }
        thrift.done();
        return reader;
    }

    private void method(TomlTable t, List<Installation.PoolEntry> pools) {
        String name = t.text("name");
        if (name.indexOf('*') >= 0 && name.indexOf('*') < name.length() - 1) {
            t.problem("name", "a * stands at its end alone");
        }
        String type = t.text("class");
        String pool = t.text("pool", "");
        var method = new ThriftMethod(
                name,
                type,
                t.figure("tenant"),
                t.figure("key"),
                t.figure("about"),
                t.figure("timeout_ms"),
                t.figure("request_id"),
                t.figure("retried"),
                refusal(t));
        t.done();
        if (!pool.isEmpty()
                && pools.stream()
                        .noneMatch(p -> p.name().equals(pool) && p.protocol().equals("thrift"))) {
            t.problem("pool", "there is no [[pool]] \"" + pool + "\" with protocol = \"thrift\"");
        }
        for (Installation.PoolEntry p : pools) {
            if (p.protocol().equals("thrift")
                    && p.settings() != null
                    && (pool.isEmpty() || p.name().equals(pool))) {
                check(t, method, p);
            }
        }
        methods.add(new Method(pool.isEmpty() ? null : pool, method));
    }

    private static void check(TomlTable t, ThriftMethod method, Installation.PoolEntry pool) {
        Balancer.RequestClass type = pool.settings().classes().stream()
                .filter(c -> c.name().equals(method.requestClass()))
                .findFirst()
                .orElse(null);
        if (type == null) {
            if (!method.requestClass().isEmpty()) {
                t.problem("class", "pool \"" + pool.name() + "\" has no class \"" + method.requestClass() + "\"");
            }
        } else if (type.effect() == Balancer.Effect.KEYED && !(method.key() instanceof ThriftMethod.At)) {
            t.problem("key", "class \"" + type.name() + "\" is keyed: the path of the key is wanted");
        }
        List<Balancer.Tenant> tenants = pool.settings().tenants();
        if (!tenants.isEmpty() && method.tenant() == null) {
            t.problem(
                    "tenant",
                    "pool \"" + pool.name() + "\" has tenants: the path of the tenant, or { fixed = ... }, is wanted");
        }
        if (!tenants.isEmpty()
                && method.tenant() instanceof ThriftMethod.Fixed fixed
                && tenants.stream().noneMatch(n -> n.name().equals(fixed.value()))) {
            t.problem("tenant", "pool \"" + pool.name() + "\" has no tenant \"" + fixed.value() + "\"");
        }
    }

    private static ThriftMethod.Refusal refusal(TomlTable t) {
        TomlTable r = t.optionalTable("refusal");
        if (r == null) {
            return null;
        }
        var refusal = new ThriftMethod.Refusal(
                (int) r.whole("field", null, 1, Short.MAX_VALUE),
                (int) r.whole("message", 0L, 0, Short.MAX_VALUE),
                (int) r.whole("retry_after_ms", 0L, 0, Short.MAX_VALUE));
        r.done();
        return refusal;
    }

    /** Reads what a listener is told; {@code pool} is null where there is none of the name that it gives. */
    ThriftOptions options(TomlTable t, Installation.PoolEntry pool) {
        List<ThriftMethod> its = methods.stream()
                .filter(m -> pool != null && (m.pool() == null || m.pool().equals(pool.name())))
                .map(Method::method)
                .toList();
        if (pool != null && its.isEmpty()) {
            t.problem("pool", "pool \"" + pool.name() + "\" has no [[thrift.method]]");
        }
        return new ThriftOptions(
                its,
                refuseUnknown,
                pool == null ? 64 : pool.maxFrame(),
                t.flag("out_of_order", false),
                (int) t.whole("max_open", 64L, 1, 100_000),
                t.whole("max_open_bytes", MIB, 64, 1024 * MIB),
                t.whole("max_open_bytes_in_all", 16 * MIB, 64, 16 * 1024 * MIB),
                t.whole("max_half_bytes_in_all", 16 * MIB, MIB, 16 * 1024 * MIB),
                MS * t.whole("idle_ms", 60_000L, 100, 86_400_000));
    }
}
