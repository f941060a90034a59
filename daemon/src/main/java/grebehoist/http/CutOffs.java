package grebehoist.http;

import grebehoist.engine.Log;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Tells the operators of requests that were taken and not answered whole: a line for each, as long as these are few, and a count
 * by cause of those beyond. Nothing of it is touched by a request that is served. Used by the loop's thread alone.
 */
final class CutOffs {
    /** Enough to follow single cases; many at once have one cause, and its count says as much. */
    private static final int LINES_A_SECOND = 5;

    private static final long SECOND_US = 1_000_000;

    private final Log log;
    private final Map<CutOff, Integer> leftOut = new EnumMap<>(CutOff.class);
    private long second = Long.MIN_VALUE;
    private int lines;

    CutOffs(Log log) {
        this.log = log;
    }

    /**
     * A request ends without a whole answer.
     *
     * @param nowUs the time, in microseconds
     * @param exchange its id and how far it came, in words
     */
    void tell(long nowUs, CutOff why, Object exchange) {
        log.count(why.counter());
        if (nowUs / SECOND_US != second) {
            second = nowUs / SECOND_US;
            lines = 0;
            tellLeftOut();
        }
        if (++lines > LINES_A_SECOND) {
            leftOut.merge(why, 1, Integer::sum);
        } else {
            log.line("not answered whole: " + exchange + ": " + why);
        }
    }

    /** Those of a second are told with the first line of a later one. */
    private void tellLeftOut() {
        if (!leftOut.isEmpty()) {
            var counts = new StringJoiner(", ");
            leftOut.forEach((why, count) -> counts.add(count + " as " + why));
            leftOut.clear();
            log.line("not answered whole, and no line each: " + counts);
        }
    }
}
