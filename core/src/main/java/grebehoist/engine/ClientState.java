package grebehoist.engine;

/** Whether the client of a request is still there, by the newest that can be known without waiting. */
public enum ClientState {
    /** It has not ended its connection, or could not have done so long enough ago to matter. */
    PRESENT,
    /** It has ended its connection. */
    GONE,
    /** It has sent so much behind its request that an end behind that can't be seen. */
    UNKNOWN
}
