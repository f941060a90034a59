package grebehoist.fleet.lease;

/**
 * What one voter remembers of one task.
 *
 * @param promised nothing below this is granted
 * @param accepted what was granted last, or null
 * @param untilUs until when that counts, by the voter's clock
 * @param released what was given back: it is not granted again, however late its question comes
 */
public record Vote(Ballot promised, Ballot accepted, long untilUs, Ballot released) {
    /** The same without a grant that is over. */
    public Vote at(long nowUs) {
        return accepted != null && nowUs >= untilUs ? new Vote(promised, null, 0, released) : this;
    }
}
