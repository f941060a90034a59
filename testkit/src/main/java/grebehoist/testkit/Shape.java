package grebehoist.testkit;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * What a message looks like on its way: how long it is, whether it has a length, and how slowly it comes. It is drawn from the text that
 * the message begins with, so that whoever reads it can tell each byte that is wrong.
 */
record Shape(int length, boolean chunks, StandInWire.Pace pace) {
    private static final Shape PLAIN = new Shape(0, false, StandInWire.Pace.AT_ONCE);
    private static final int LONG_IN_100 = 20;
    private static final int KIB = 1_024;
    /** Around the lengths at which a proxy may treat messages differently. */
    private static final int[] LENGTHS = {
        100,
        16 * KIB - 1,
        16 * KIB,
        16 * KIB + 1,
        40 * KIB,
        64 * KIB - 1,
        64 * KIB,
        64 * KIB + 1,
        100 * KIB,
        256 * KIB - 1,
        256 * KIB,
        256 * KIB + 1,
        300 * KIB
    };
    /** From here on an answer's first bytes are what is timed, and the rest may take its time. */
    private static final int TIMED_BY_FIRST = 64 * KIB;

    private static final int LETTERS = 26;

    /** Draws the shape of a message, most of them plain. */
    static Shape of(String text) {
        var random = new SplittableRandom(text.hashCode());
        if (random.nextInt(100) >= LONG_IN_100) {
            return PLAIN;
        }
        int length = LENGTHS[random.nextInt(LENGTHS.length)];
        boolean slow = length > TIMED_BY_FIRST && random.nextBoolean();
        var pace = new StandInWire.Pace(
                1 + random.nextInt(slow ? 4 : 12),
                slow ? random.nextLong(110_000, 1_900_000) : random.nextLong(1_000, 40_000));
        return new Shape(length, random.nextBoolean(), pace);
    }

    /** The shape of a request, which its client may take a second or two to send. */
    static Shape ofRequest(String text) {
        Shape drawn = of(text);
        return new Shape(
                drawn.length,
                drawn.chunks,
                new StandInWire.Pace(drawn.pace.pieces(), Math.min(drawn.pace.pauseUs(), 100_000)));
    }

    /** Returns the message: the text, and then letters that follow from it, to its length. */
    byte[] message(String text) {
        byte[] head = text.getBytes(StandardCharsets.US_ASCII);
        if (length <= head.length) {
            return head;
        }
        byte[] all = new byte[length];
        System.arraycopy(head, 0, all, 0, head.length);
        all[head.length] = '\n';
        int first = Math.floorMod(text.hashCode(), LETTERS);
        for (int i = head.length + 1; i < length; i++) {
            // Two periods without a common factor: a part that is left out, or comes twice, shows.
            all[i] = (byte) ('a' + (first + i + i / 251) % LETTERS);
        }
        return all;
    }

    /** Returns the text that a message begins with. */
    static String text(byte[] message) {
        int end = 0;
        while (end < message.length && message[end] != '\n') {
            end++;
        }
        return new String(message, 0, end, StandardCharsets.US_ASCII);
    }
}
