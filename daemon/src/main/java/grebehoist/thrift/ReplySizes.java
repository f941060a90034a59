package grebehoist.thrift;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How large the replies to each method of a listener are: what a call reserves of the memory for answers before its reply is there. It is
 * the largest of late, and falls slowly as smaller ones come.
 */
final class ReplySizes {
    /** What a reply may have before one to the same method has been seen, in bytes. */
    private static final long FIRST_GUESS = 64 * 1024;
    /** Clients may make names up. */
    private static final int MOST_METHODS = 1_024;

    private static final int FALLS_BY_ONE_IN = 16;

    private final Map<String, Long> recent = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST_METHODS;
        }
    };

    private final long firstGuess;

    /**
     * Makes one that has seen no reply.
     *
     * @param maxFrame the longest reply, in bytes
     */
    ReplySizes(int maxFrame) {
        firstGuess = Math.min(FIRST_GUESS, maxFrame);
    }

    /** Returns how many bytes the reply to a call may have. */
    long expected(Message call) {
        return call.type() == Message.ONEWAY ? 0 : recent.getOrDefault(call.name(), firstGuess);
    }

    /** A call has been replied to by a backend. */
    void replied(Message call, long bytes) {
        Long before = recent.get(call.name());
        recent.put(call.name(), before == null ? bytes : Math.max(bytes, before - before / FALLS_BY_ONE_IN));
    }
}
