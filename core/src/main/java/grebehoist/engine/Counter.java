package grebehoist.engine;

import java.util.Locale;

/** What is counted for the operators beside requests and attempts; the names are those of the metrics. */
public enum Counter {
    /** An attempt was not begun, as its request's time, or its key's window, had run out since it was decided on. */
    ATTEMPT_OUT_OF_TIME,
    /** A call that accepts a connection took long, as the system made it fail again and again. */
    ACCEPT_DELAYED,
    /** A listener could not accept a connection, and tried again. */
    ACCEPT_FAILED,
    /** An address could not be bound, and was tried again. */
    BIND_FAILED,
    /** The configuration could not be read, and was tried again. */
    CONFIGURATION_UNREADABLE,
    /** A call to discovery brought no list. */
    DISCOVERY_CALL_FAILED,
    /** A watch on discovery was wanted, and neither a call nor a timer was there for it. */
    DISCOVERY_UNATTENDED,
    /** The process ended with requests unanswered. */
    ENDED_UNANSWERED,
    /** A log line was dropped, as there were too many. */
    LOG_LINE_DROPPED,
    /** What the operators asked could not be written, and was tried again. */
    STATE_WRITE_FAILED,
    /** What the operators asked could not be read; what was known last stayed in force. */
    STATE_READ_FAILED,
    /** A task of the event loop ended with an exception. */
    TASK_FAILED;

    /** Returns its name in the metrics. */
    public String metric() {
        return name().toLowerCase(Locale.ROOT);
    }
}
