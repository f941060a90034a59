package grebehoist.cli;

import java.net.InetSocketAddress;

/** Tables of an installation file with the classes of {@link ProcessIT}. */
final class InstallationText {
    private InstallationText() {}

    static String pool(String name, InetSocketAddress discovery) {
        return """
                [[pool]]
                name = "%s"
                protocol = "http"
                discovery = "127.0.0.1:%d"
                [pool.rules]
                cold_from = 0.4
                cold_ms = 8000
                fall_multiple = 4.0
                fall_ms = 1000
                [[pool.class]]
                name = "read"
                effect = "safe"
                aim_ms = 600
                deadline_ms = 2000
                [[pool.class]]
                name = "invoice"
                effect = "keyed"
                scope = "zone"
                window_ms = 12000
                aim_ms = 600
                deadline_ms = 2500
                [[pool.class]]
                name = "pay"
                effect = "keyed"
                scope = "zone"
                window_ms = 1200
                aim_ms = 400
                deadline_ms = 2000
                [[pool.class]]
                name = "vote"
                effect = "unsafe"
                aim_ms = 600
                deadline_ms = 2000
                """.formatted(name, discovery.getPort());
    }

    static String listener(String name, InetSocketAddress address, String pool) {
        return """
                [[listener]]
                name = "%s"
                protocol = "http"
                address = "127.0.0.1:%d"
                pool = "%s"
                """.formatted(name, address.getPort(), pool);
    }
}
