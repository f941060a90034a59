package grebehoist.fleet.wire;

/** Why a datagram changed nothing. */
public enum Refused {
    /** It is longer than 256 bytes. */
    TOO_LONG,
    /** It can't be read. */
    UNREADABLE,
    /** A version that this program does not speak. */
    VERSION,
    /** Sealed with a key that is not on the ring. */
    KEY,
    /** The seal is wrong. */
    SEAL,
    /** It does not come from where the member that it names has its address. */
    WRONG_PLACE,
    /** It does not show that its sender has heard of this life of the receiver: an old one, or the first between the two. */
    UNPROVEN,
    /** It has come before, or is too far behind those that have. */
    REPEATED,
    /** More than a member may send. */
    FLOOD
}
