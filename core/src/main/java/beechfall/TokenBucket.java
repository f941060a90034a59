package beechfall;

/** A bucket of tokens that fills at a rate up to a most, both named by whoever asks, as they may change. */
final class TokenBucket {
    private double tokens;
    private long filledAt;

    /** Makes one that holds so many tokens at a time, in microseconds. */
    TokenBucket(double tokens, long now) {
        this.tokens = tokens;
        this.filledAt = now;
    }

    /** Fills it for the time that has passed; returns how many tokens there are. */
    double fill(double perUs, double most, long now) {
        tokens = Math.min(most, tokens + perUs * (now - filledAt));
        filledAt = now;
        return tokens;
    }

    /** Takes one out, be there one or not. */
    void take() {
        tokens -= 1;
    }
}
