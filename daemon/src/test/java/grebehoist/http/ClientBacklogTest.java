package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClientBacklogTest {
    private static final long MS = 1_000;
    private static final int WINDOW = ClientBacklog.WINDOW_BYTES;

    private final ClientBacklog backlog = new ClientBacklog(0);

    /** Guards against evidence 2 of issue 67: nobody had looked while this side was full, and all was taken for unwritten. */
    @Test
    void aWindowThatCameAtOnceMayHaveMoreBehindItThoughNobodyHasLooked() {
        backlog.read(WINDOW);
        assertThat(backlog.mayHold()).isTrue();
        assertThat(backlog.heldNothingAtUs()).isZero();
    }

    @Test
    void bytesThatComeSlowlyHaveNothingBehindThem() {
        for (int i = 1; i <= 1_000; i++) {
            backlog.read(WINDOW / 8);
            backlog.emptyAt(i * 5 * MS);
            assertThat(backlog.mayHold()).isFalse();
            assertThat(backlog.heldNothingAtUs()).isEqualTo(i * 5 * MS);
        }
    }

    @Test
    void aBufferThatWasEmptiedAndStaysSoIsProof() {
        backlog.read(4 * WINDOW);
        backlog.emptyAt(10 * MS);
        assertThat(backlog.mayHold()).as("more may be on its way").isTrue();
        backlog.emptyAt(11 * MS);
        assertThat(backlog.mayHold()).as("less than a round trip").isTrue();
        backlog.emptyAt(12 * MS);
        assertThat(backlog.mayHold()).isFalse();
        assertThat(backlog.heldNothingAtUs()).isEqualTo(12 * MS);
    }

    @Test
    void whatRefillsTheBufferAtOnceIsNoProof() {
        for (int i = 1; i <= 100; i++) {
            backlog.read(WINDOW);
            backlog.emptyAt(i * 100 * MS);
            assertThat(backlog.mayHold()).isTrue();
        }
        assertThat(backlog.heldNothingAtUs()).isZero();
    }

    /** Linux asks for more only when much is free. */
    @Test
    void aBufferThatIsReadAndNotEmptiedIsNoProof() {
        backlog.read(WINDOW);
        backlog.looked(9, 100 * MS);
        backlog.looked(9, 900 * MS);
        assertThat(backlog.mayHold()).isTrue();
        assertThat(backlog.heldNothingAtUs()).isZero();
    }

    /** While reading rests, the client's side hands on all that it has until a window is full. */
    @Test
    void whatWaitsHereTellsWhatWaitsThere() {
        backlog.read(100);
        backlog.looked(WINDOW - 101, 500 * MS);
        assertThat(backlog.mayHold()).isFalse();
        assertThat(backlog.heldNothingAtUs()).isEqualTo(500 * MS);
        backlog.looked(WINDOW - 100, 600 * MS);
        assertThat(backlog.mayHold()).isTrue();
        assertThat(backlog.heldNothingAtUs()).isEqualTo(500 * MS);
    }

    /** The same poll tells the same thing to each of the reads behind it. */
    @Test
    void whatIsToldTwiceIsNoProofOfTheBytesBetween() {
        backlog.read(3 * WINDOW);
        backlog.emptyAt(10 * MS);
        backlog.emptyAt(11 * MS);
        backlog.read(WINDOW);
        backlog.emptyAt(11 * MS);
        assertThat(backlog.mayHold()).isTrue();
        backlog.looked(0, 13 * MS);
        assertThat(backlog.mayHold()).as("the buffer was refilled").isTrue();
    }

    @Test
    void aMessageThatHasComeWholeHasNothingBehindIt() {
        backlog.read(3 * WINDOW);
        backlog.holdsNothing(7 * MS);
        assertThat(backlog.mayHold()).isFalse();
        assertThat(backlog.heldNothingAtUs()).isEqualTo(7 * MS);
    }
}
