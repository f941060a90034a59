package grebehoist.engine;

import java.util.Locale;

/** What is counted for the operators beside requests and attempts; the names are those of the metrics. */
public enum Counter {
    /** An attempt was not begun, as its request's time, or its key's window, had run out since it was decided on. */
    ATTEMPT_OUT_OF_TIME,
    /** An attempt was not begun, as its client was found to have left right before its first byte. */
    ATTEMPT_CLIENT_LEFT,
    /** An attempt was not begun, as it could not be seen whether its client had left. */
    ATTEMPT_CLIENT_UNKNOWN,
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
    /** What processes of one proxy claim could not be shared, and was tried again: an id may be sent on by two meanwhile. */
    CLAIMS_NOT_SHARED,
    /** A task of the event loop ended with an exception. */
    TASK_FAILED,

    /** A request was refused, as its time was up when it was read. */
    REFUSED_OUT_OF_TIME,
    /** A request was refused by the decision module. */
    REFUSED_BY_POLICY,
    /** A request was refused, as the rest of its body would have come too late. */
    REFUSED_BODY_LATE,
    /** A request was refused, as it could not be seen whether its client had left. */
    REFUSED_CLIENT_UNKNOWN,
    /** A request was refused before it had come whole, as the place of its connection was wanted. */
    REFUSED_PLACE_WANTED,
    /** A request was refused, as the process ended. */
    REFUSED_AT_SHUTDOWN,
    /** A request failed by a decision of the module. */
    FAILED_BY_POLICY,
    /** A request failed, as another with its id was open. */
    FAILED_SAME_ID,
    /** A request failed at its deadline, as the module had not answered it. */
    FAILED_OVERDUE,
    /** A request that may have run failed, as it could not be seen whether its client had left. */
    FAILED_CLIENT_UNKNOWN,
    /** A request that may have run failed, as the process ended. */
    FAILED_AT_SHUTDOWN,
    /** A further attempt was made for a request. */
    RETRIED,

    /** A request was not answered whole, as its client had closed the connection. */
    CLOSED_CLIENT_LEFT,
    /** A request was not answered whole, as its client's connection was reset. */
    CLOSED_CLIENT_RESET,
    /** A connection was closed, as its client took nothing of its answer, or less than the least. */
    CLOSED_CLIENT_TAKES_NOTHING,
    /** A connection was closed, as of all clients its own had left the most of its answers, and there was no more room for them. */
    CLOSED_ANSWERS_UNTAKEN,
    /** A connection was closed, as a request came too slowly on it. */
    CLOSED_REQUEST_SLOW,
    /** A connection was closed, as the rest of a refused request came for too long. */
    CLOSED_REST_DROPPED,
    /** A client's connection failed in this program. */
    CLOSED_CLIENT_FAILED,
    /** A long answer was cut off, as its backend ended the connection. */
    CLOSED_BACKEND_ENDED,
    /** A long answer was cut off, as its backend gave nothing for too long. */
    CLOSED_BACKEND_SILENT,
    /** A long answer was cut off, as it could not be read. */
    CLOSED_BACKEND_UNREADABLE,
    /** A long answer was cut off, as its backend's connection failed in this program. */
    CLOSED_BACKEND_FAILED;

    /** Returns its name in the metrics. */
    public String metric() {
        return name().toLowerCase(Locale.ROOT);
    }
}
