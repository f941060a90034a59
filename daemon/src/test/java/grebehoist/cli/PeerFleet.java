package grebehoist.cli;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Several backends that are played by hand, each connection on a thread of its own, and the list that discovery has of them. */
final class PeerFleet implements Closeable {
    private final List<Peer> backends = new ArrayList<>();
    private final String list;

    /** Starts so many, which have run for long. */
    PeerFleet(int number, Peer.Service service) throws IOException {
        var entries = new ArrayList<String>();
        for (int i = 0; i < number; i++) {
            var backend = new Peer();
            backends.add(backend);
            entries.add(
                    Fixture.entry("s" + i, backend.address(), "ready").replace("\"started_ms\":7", "\"started_ms\":0"));
            backend.serveAll(service);
        }
        list = Fixture.list(41, true, entries.toArray(String[]::new));
    }

    /** Returns the whole list of them. */
    String list() {
        return list;
    }

    @Override
    public void close() throws IOException {
        for (Peer backend : backends) {
            backend.close();
        }
    }
}
