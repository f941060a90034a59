package grebehoist.fleet.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** One that a machine gives changes to, a proxy or a fellow, and how much it may be sent. */
final class Reader {
    /** So many changes are on their way at most: what comes early has to wait at the reader. It begins with fewer, and with few where nothing is told. */
    private static final int MOST_WINDOW = Replica.MOST_EARLY * 3 / 4;

    private static final int FIRST_WINDOW = 24;
    private static final int LEAST_WINDOW = 4;

    /** Where a reader is in one scope. */
    static final class Position {
        /** What it has told. */
        private long have = -1;

        private int hash;
        private boolean fill;
        private long heardUs;
        /** Up to where it was sent, and when something was last. */
        private long sentTo;

        private long sentUs;
        private long retryUs;
        private int window = FIRST_WINDOW;
        /** What is missing in the middle and to be sent again, and when that was done, by where it begins. */
        private final Deque<Message.Gap> gaps = new ArrayDeque<>(1);

        private final TreeMap<Long, Long> resent = new TreeMap<>();
        /** Since when it lacks something; -1 where it does not. */
        private long behindUs = -1;

        private long sinceUs;

        long have() {
            return have;
        }

        int hash() {
            return hash;
        }

        boolean fill() {
            return fill;
        }

        long heardUs() {
            return heardUs;
        }

        long behindUs() {
            return behindUs;
        }

        long sinceUs() {
            return sinceUs;
        }

        /** Something is lacking, since a time. */
        void behind(long sinceTimeUs) {
            behindUs = behindUs < 0 ? sinceTimeUs : behindUs;
        }

        /** Nothing is. */
        void upToDate() {
            behindUs = -1;
        }

        /** It has told what it has. */
        void told(long nowUs, Message.Have told, long firstRetryUs) {
            sinceUs = have < 0 ? nowUs : sinceUs;
            heardUs = nowUs;
            if (have < 0 || told.have() < have) {
                // A new one, one that began anew, or one that gets all of it anew.
                sentTo = told.have();
                resent.clear();
            }
            if (told.have() != have) {
                window = Math.min(MOST_WINDOW, 2 * window);
                retryUs = firstRetryUs;
                sentUs = nowUs;
            }
            have = told.have();
            hash = told.hash();
            fill = told.fill();
            sentTo = Math.max(sentTo, have);
            resent.headMap(have).clear();
            gaps.clear();
            for (Message.Gap gap : told.gaps()) {
                Long before = resent.get(gap.from());
                if (gap.to() <= sentTo && (before == null || nowUs - before >= firstRetryUs)) {
                    gaps.add(gap);
                    resent.put(gap.from(), nowUs);
                }
            }
        }

        /** Returns what is to be sent now, after one version and up to another one; null for nothing. */
        Message.Gap next(long nowUs, Book book, DistributionTerms terms, Rules rules) {
            if (!rules.repairs()) {
                return sentTo < book.head() ? new Message.Gap(sentTo, book.head()) : null;
            }
            if (!gaps.isEmpty()) {
                return gaps.peekFirst();
            }
            if (sentTo < book.head() && !book.between(have, sentTo, window)) {
                return new Message.Gap(sentTo, book.head());
            }
            if (nowUs - sentUs < retryUs) {
                return null;
            }
            retryUs = Math.min(2 * retryUs, terms.mostRetryUs());
            // Nobody may be there any more to get it.
            window = LEAST_WINDOW;
            sentTo = have;
            return new Message.Gap(sentTo, book.head());
        }

        /** Something of it was sent. */
        void sent(long nowUs, Message.Gap of, long to) {
            if (of == gaps.peekFirst()) {
                gaps.removeFirst();
                if (to < of.to()) {
                    gaps.addFirst(new Message.Gap(to, of.to()));
                }
            } else {
                sentTo = Math.max(sentTo, to);
                sentUs = nowUs;
            }
        }
    }

    private final int number;
    private final Map<Ledger, Position> behind = new LinkedHashMap<>(2);
    private double tokens;
    private double fillTokens;
    private long filledUs;
    private int sharers = 1;

    Reader(int number, long nowUs, DistributionTerms terms) {
        this.number = number;
        // It may have come from another machine that has just sent it much.
        this.tokens = terms.burst() / 4.0;
        this.fillTokens = terms.burst();
        this.filledUs = nowUs;
    }

    int number() {
        return number;
    }

    /** What it lacks something of. */
    Map<Ledger, Position> behind() {
        return behind;
    }

    /** So many machines give changes to it now. */
    void sharers(int number) {
        sharers = Math.max(1, number);
    }

    /** Time brings leave to send more. */
    void refill(long nowUs, DistributionTerms terms) {
        double seconds = (nowUs - filledUs) / 1e6;
        tokens = Math.min(terms.burst(), tokens + seconds * terms.pacePerS() / sharers);
        fillTokens = Math.min(terms.burst(), fillTokens + seconds * terms.fillPerS());
        filledUs = nowUs;
    }

    /** Returns how many bytes may be sent now. */
    double allowance(boolean fill, Rules rules) {
        return rules.allowance(fill ? fillTokens : tokens);
    }

    void spend(boolean fill, int bytes) {
        if (fill) {
            fillTokens -= bytes;
        } else {
            tokens -= bytes;
        }
    }
}
