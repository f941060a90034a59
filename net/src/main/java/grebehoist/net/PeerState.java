package grebehoist.net;

/** The other side of a connection, by what the kernel holds of it. */
public enum PeerState {
    /** It has not ended the connection. */
    OPEN,
    /** It has ended the connection, or reset it. */
    ENDED,
    /** More has come than may be read to see an end behind it. */
    UNKNOWN
}
