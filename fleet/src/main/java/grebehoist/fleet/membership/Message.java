package grebehoist.fleet.membership;

import java.util.List;

/**
 * What one member says to another.
 *
 * @param seq the number of the question, which an answer has too
 * @param subject the member that a question is about; of a page, where it begins or what comes after it
 * @param self what the sender says of itself: nobody knows that better
 */
public record Message(Kind kind, long seq, int subject, Self self, List<News> news) {
    /** What it is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** Ask somebody else for me. */
        ASK,
        /** Here, or the one that I was to ask is. */
        ACK,
        /** I am here, and the one that I was to ask has not answered. */
        NACK,
        /** What do you hold of the members from this number on? */
        PULL,
        /** So much. */
        PAGE,
        /** Just news. */
        NEWS
    }

    /** A sender's word on itself; name and zone are cut to {@link MessageCodec#MOST_TEXT} bytes. */
    public record Self(long incarnation, boolean leaving, String name, String zone) {}

    public Message {
        news = List.copyOf(news);
    }
}
