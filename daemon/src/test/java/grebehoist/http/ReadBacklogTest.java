package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.net.Network;
import org.junit.jupiter.api.Test;

class ReadBacklogTest {
    private static final long MS = 1_000;
    /** More than both sides hold: the end has not been written. */
    private static final long MUCH_LEFT = 32 * 1024 * 1024;

    private final ReadBacklog backlog = new ReadBacklog(ReadBacklog.MOST_HELD, 0);

    @Test
    void whatIsReadAsItComesComesNow() {
        assertThat(read(1_000, 5)).isEqualTo(5);
        assertThat(backlog.endMayHaveComeAt(-1)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void whatFitsIntoTheKernelMayHaveComeWhenReadingBeganToRest() {
        read(1_000, 5);
        backlog.rests(10);
        backlog.rests(20);
        assertThat(backlog.endMayHaveComeAt(-1)).isEqualTo(10);
        assertThat(backlog.endMayHaveComeAt(ReadBacklog.MOST_HELD)).isEqualTo(10);
        assertThat(backlog.endMayHaveComeAt(ReadBacklog.MOST_HELD + 1)).isEqualTo(Long.MAX_VALUE);
        assertThat(backlog.read(ReadBacklog.MOST_HELD, MUCH_LEFT, 5, 1_000)).isEqualTo(10);
        backlog.drained(1_500);
        assertThat(read(1, 4_000)).isEqualTo(4_000);
    }

    /** A client that is always ahead of its backend: no byte came before those that the kernel can't hold beside it were read. */
    @Test
    void whatDoesNotFitCameLater() {
        backlog.rests(0);
        int piece = ReadBacklog.MOST_HELD / 4;
        for (int i = 1; i <= 100; i++) {
            long came = backlog.read(piece, MUCH_LEFT, 0, i * 100L);
            // Byte i came no sooner than byte i - 4 was read; as times are kept in steps it may be told a little
            // sooner.
            assertThat(came)
                    .isLessThanOrEqualTo(Math.max(0, i - 4) * 100L)
                    .isGreaterThanOrEqualTo(Math.max(0, i - 5) * 100L);
            assertThat(backlog.size()).isLessThan(20);
        }
        assertThat(backlog.endMayHaveComeAt(piece)).isEqualTo(9_700);
    }

    @Test
    void littleIsKeptOfManySmallPieces() {
        backlog.rests(0);
        for (int i = 0; i < 1_000_000; i++) {
            backlog.read(1, -1, 0, i);
        }
        assertThat(backlog.size()).isLessThan(20);
    }

    /** Guards against picture (d) of issue 63: what a client had written long ago and its own side held was taken for unwritten. */
    @Test
    void whatTheClientsSideHoldsMayHaveBeenWrittenWhenItWasLastKnownToHoldNothing() {
        int held = ReadBacklog.MOST_HELD + ClientBacklog.MOST_BYTES;
        read(100, 5 * MS);
        backlog.rests(5 * MS);
        backlog.looked(Network.FULL, held, 10 * MS);
        backlog.looked(2 * Network.FULL, held, 500 * MS);
        assertThat(backlog.endMayHaveComeAt(held)).isEqualTo(5 * MS);
        assertThat(backlog.endMayHaveComeAt(held + 1)).isEqualTo(Long.MAX_VALUE);
        assertThat(read(2 * Network.FULL - 9, 5 * MS)).isEqualTo(5 * MS);
        backlog.looked(9, held, 660 * MS);
        backlog.looked(9, held, 670 * MS);
        assertThat(backlog.endMayHaveComeAt(held))
                .as("nothing more comes, as much has to be free first")
                .isEqualTo(5 * MS);
        assertThat(read(9, 5 * MS)).isEqualTo(5 * MS);
        backlog.drained(680 * MS);
        backlog.looked(0, held, 681 * MS);
        assertThat(backlog.endMayHaveComeAt(held)).as("more may be on its way").isEqualTo(5 * MS);
        backlog.looked(0, held, 682 * MS);
        assertThat(backlog.endMayHaveComeAt(held))
                .as("its client's bytes come as they are written")
                .isEqualTo(Long.MAX_VALUE);
        backlog.looked(Network.FULL, held, 800 * MS);
        assertThat(backlog.endMayHaveComeAt(held)).isEqualTo(682 * MS);
        backlog.emptied(900 * MS);
        assertThat(read(1, 1_000 * MS)).as("the next request").isEqualTo(1_000 * MS);
    }

    /** A body that is longer than both sides hold: its end was written after the last time at which that was so. */
    @Test
    void anEndThatWasOutOfReachWasWrittenLater() {
        int held = ReadBacklog.MOST_HELD + ClientBacklog.MOST_BYTES;
        read(Network.FULL, 5 * MS);
        backlog.looked(Network.FULL, held + 1, 300 * MS);
        assertThat(backlog.endMayHaveComeAt(held)).isEqualTo(300 * MS);
        backlog.looked(Network.FULL, held, 400 * MS);
        assertThat(backlog.endMayHaveComeAt(held)).isEqualTo(300 * MS);
    }

    /** Reads bytes that came after a poll that did not name their connection. */
    private long read(int bytes, long polledUs) {
        return backlog.read(bytes, -1, polledUs, polledUs);
    }
}
