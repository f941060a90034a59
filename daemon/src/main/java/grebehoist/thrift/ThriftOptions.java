package grebehoist.thrift;

import java.util.List;

/**
 * What a Thrift listener and its pool's connections are told.
 *
 * @param methods the first that matches counts
 * @param refuseUnknown whether a call of an unknown method is refused rather than failed
 * @param maxFrame the longest message in bytes, on either side
 * @param outOfOrder whether replies on a connection may overtake one another
 * @param maxOpen calls that may be open on one connection
 * @param maxOpenBytes bytes of open calls on one connection
 * @param maxOpenBytesInAll the same over all connections of the listener
 * @param maxHalfBytesInAll bytes of frames that have not come whole, over all connections of the listener
 * @param idleUs a connection on which no call is open for so long is closed
 */
public record ThriftOptions(
        List<ThriftMethod> methods,
        boolean refuseUnknown,
        int maxFrame,
        boolean outOfOrder,
        int maxOpen,
        long maxOpenBytes,
        long maxOpenBytesInAll,
        long maxHalfBytesInAll,
        long idleUs) {
    /** Takes the list over. */
    public ThriftOptions {
        methods = List.copyOf(methods);
    }
}
