package grebehoist.thrift;

import beechfall.Balancer.Outcome;
import java.util.Set;

/**
 * The one table of what Thrift tells of an attempt: how it ended, and whether the backend may have run it.
 *
 * <table>
 * <caption>Outcomes</caption>
 * <tr><th>what comes back</th><th>outcome</th><th>has it run, and why</th></tr>
 * <tr><td>a reply of this call's id, name and protocol that can be read to its end</td><td>OK</td><td>yes; a declared
 * exception in it is the service's answer</td></tr>
 * <tr><td>{@code TApplicationException} of type 1 unknown method, 2 invalid message type, 3 wrong method name, 7 protocol
 * error, 8 invalid transform, 9 invalid protocol, 10 unsupported client type</td><td>FULL</td><td>never: the server's
 * processor finds these before it calls the service, in the head of the message or in its arguments</td></tr>
 * <tr><td>{@code TApplicationException} of any other type: 0 unknown, 4 bad sequence id, 5 missing result, 6 internal
 * error, or one that is not known</td><td>ERROR</td><td>may have: 5 and 6 come from behind the service's method, 4 is for
 * clients to find, and the others say nothing</td></tr>
 * <tr><td>a frame that can't be read, of another id, name or protocol, or before the call had gone</td><td>ERROR</td>
 * <td>may have: something has come back; the connection ends</td></tr>
 * <tr><td>the connection is refused, or breaks before the call's last byte has been written</td><td>CONNECT_FAILED</td>
 * <td>never: a server begins with a whole frame ({@code AttemptConnection} for this line and the next two)</td></tr>
 * <tr><td>it breaks after that, also in the middle of a reply</td><td>RESET</td><td>may have</td></tr>
 * <tr><td>nothing in time</td><td>TIMEOUT, or CONNECT_FAILED before the last byte</td><td>may have, or may yet</td></tr>
 * <tr><td>(a oneway call) its last byte has been written</td><td>OK</td><td>may have; nothing will ever tell</td></tr>
 * </table>
 */
final class ThriftOutcomes {
    static final int UNKNOWN = 0;
    static final int UNKNOWN_METHOD = 1;
    static final int INTERNAL_ERROR = 6;
    static final int PROTOCOL_ERROR = 7;

    private static final Set<String> BEFORE_THE_SERVICE = Set.of("1", "2", "3", "7", "8", "9", "10");

    private ThriftOutcomes() {}

    /** Returns the outcome of a {@code TApplicationException}; {@code type} is null where it names none. */
    static Outcome ofException(String type) {
        return type != null && BEFORE_THE_SERVICE.contains(type) ? Outcome.FULL : Outcome.ERROR;
    }
}
