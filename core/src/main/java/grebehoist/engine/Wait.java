package grebehoist.engine;

import java.util.Locale;

/**
 * The stages at which a client's request can wait in this process, or in the kernel on its behalf. Where the kernel does not tell how long
 * something has waited, the longest that is possible is recorded.
 */
public enum Wait {
    /** A new connection, in the listener's queue, until it was accepted. */
    ACCEPT_QUEUE,
    /** A new connection, from its accept until its first bytes were read. */
    ACCEPT_TO_READ,
    /** Bytes on a connection that is there, until they were read. */
    UNREAD,
    /** A request, from the read of its last byte until the first byte of its first attempt. */
    BEFORE_FIRST_BYTE;

    /** Returns its name in the metrics. */
    public String metric() {
        return name().toLowerCase(Locale.ROOT);
    }
}
