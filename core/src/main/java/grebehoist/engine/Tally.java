package grebehoist.engine;

import beechfall.Balancer;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What has become of the requests of each class since the process began: answers given, and attempts written whole. Kept by
 * the engine, used by its thread alone.
 */
public final class Tally {
    /** The figures of one class. */
    public static final class Row {
        private long served;
        private long refused;
        private long failed;
        private long attempts;

        private Row() {}

        /** Returns the requests that were served. */
        public long served() {
            return served;
        }

        /** Returns the requests that were refused. */
        public long refused() {
            return refused;
        }

        /** Returns the requests that failed. */
        public long failed() {
            return failed;
        }

        /** Returns the attempts that were written whole to a backend. */
        public long attempts() {
            return attempts;
        }

        void countServed() {
            served++;
        }

        void countRefused() {
            refused++;
        }

        void countFailed() {
            failed++;
        }

        void countAttempt() {
            attempts++;
        }
    }

    /** By class; only those of the settings, so there are no more than these. */
    private final Map<String, Row> rows = new LinkedHashMap<>();

    Tally(Balancer.Settings settings) {
        settings.classes().forEach(c -> rows.put(c.name(), new Row()));
    }

    /** Returns the figures of each class, in the settings' order: the live rows, which go on counting. */
    public Map<String, Row> rows() {
        return Collections.unmodifiableMap(rows);
    }

    Row row(String requestClass) {
        // Fronts hand in no other classes; a test's may.
        return rows.getOrDefault(requestClass, new Row());
    }
}
