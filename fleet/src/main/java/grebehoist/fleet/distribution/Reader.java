package grebehoist.fleet.distribution;

import java.util.LinkedHashMap;
import java.util.Map;

/** One that a machine gives changes to, a proxy or a fellow, and how much it may be sent. */
final class Reader {
    /** Where a reader is in one scope. */
    static final class Position {
        /** What it has told. */
        private long have = -1;
        private int hash;
        private long gapTo;
        private boolean fill;
        private long heardUs;
        /** Up to where it was sent, and when something was last. */
        private long sentTo;
        private long sentUs;
        private long retryUs;
        private long gapSentUs;
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
            }
            if (told.have() != have || told.gapTo() != gapTo) {
                retryUs = firstRetryUs;
                sentUs = told.have() > have ? nowUs : sentUs;
            }
            gapSentUs = told.gapTo() != gapTo || told.have() != have ? Long.MIN_VALUE / 2 : gapSentUs;
            have = told.have();
            hash = told.hash();
            gapTo = told.gapTo();
            fill = told.fill();
            sentTo = Math.max(sentTo, have);
        }

        /** Returns from where on something is to be sent now; -1 for nothing. */
        long next(long nowUs, long head, DistributionTerms terms, Rules rules) {
            if (!rules.repairs()) {
                return sentTo < head ? sentTo : -1;
            }
            if (gapTo > have && nowUs - gapSentUs >= terms.retryUs()) {
                return have;
            }
            if (sentTo < head) {
                return sentTo;
            }
            if (nowUs - sentUs < retryUs) {
                return -1;
            }
            retryUs = Math.min(2 * retryUs, terms.mostRetryUs());
            sentTo = have;
            return sentTo;
        }

        /** Something was sent. */
        void sent(long nowUs, long from, long to) {
            if (from == have && from < sentTo) {
                gapSentUs = nowUs;
            }
            sentTo = Math.max(sentTo, to);
            sentUs = nowUs;
        }

        /** Returns where what is missing in the middle ends; 0 where nothing is, or not from here. */
        long gapTo(long from) {
            return gapTo > have && from == have && from < sentTo ? gapTo : 0;
        }
    }

    private final int number;
    private final Map<Ledger, Position> behind = new LinkedHashMap<>(2);
    private double tokens;
    private double fillTokens;
    private long filledUs;

    Reader(int number, long nowUs, DistributionTerms terms) {
        this.number = number;
        this.tokens = terms.burst();
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

    /** Time brings leave to send more. */
    void refill(long nowUs, DistributionTerms terms) {
        double seconds = (nowUs - filledUs) / 1e6;
        tokens = Math.min(terms.burst(), tokens + seconds * terms.pacePerS());
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
