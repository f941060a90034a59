package grebehoist.peers;

import grebehoist.fleet.FleetNode;
import grebehoist.fleet.membership.Terms;
import grebehoist.fleet.wire.KeyRing;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What one member is told.
 *
 * @param listen where it gets datagrams
 * @param addresses of all members as this one sees them, by number; its own is not used
 * @param keys one, or two while they change
 * @param tasks null where the fleet has none
 */
public record PeerSettings(
        FleetNode.Identity identity,
        InetSocketAddress listen,
        List<InetSocketAddress> addresses,
        Terms terms,
        List<KeyRing.Key> keys,
        FleetNode.Tasks tasks) {
    /**
     * The platform tells no key. Then a seal shows damage and what is not of this program, and who sent it is as sure as the network's
     * word on the sender's address.
     */
    public static final List<KeyRing.Key> NO_SECRET =
            List.of(new KeyRing.Key(0, "grebehoist, no secret".getBytes(StandardCharsets.UTF_8)));

    public PeerSettings {
        addresses = List.copyOf(addresses);
        keys = List.copyOf(keys);
    }
}
