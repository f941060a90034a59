package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.net.Network;
import org.junit.jupiter.api.Test;

class ReadBacklogTest {
    private final ReadBacklog backlog = new ReadBacklog(ReadBacklog.MOST_HELD);

    @Test
    void whatIsReadAsItComesComesNow() {
        assertThat(backlog.read(1_000, 5)).isEqualTo(5);
        assertThat(backlog.endMayHaveComeAt(-1)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void whatFitsIntoTheKernelMayHaveComeWhenReadingBeganToRest() {
        backlog.read(1_000, 5);
        backlog.rests(10);
        backlog.rests(20);
        assertThat(backlog.endMayHaveComeAt(-1)).isEqualTo(10);
        assertThat(backlog.endMayHaveComeAt(ReadBacklog.MOST_HELD)).isEqualTo(10);
        assertThat(backlog.endMayHaveComeAt(ReadBacklog.MOST_HELD + 1)).isEqualTo(Long.MAX_VALUE);
        assertThat(backlog.read(ReadBacklog.MOST_HELD, 1_000)).isEqualTo(10);
        backlog.drained(1_500);
        assertThat(backlog.read(1, 2_000)).isEqualTo(2_000);
    }

    /** A client that is always ahead of its backend: no byte came before those that the kernel can't hold beside it were read. */
    @Test
    void whatDoesNotFitCameLater() {
        backlog.rests(0);
        int piece = ReadBacklog.MOST_HELD / 4;
        for (int i = 1; i <= 100; i++) {
            long came = backlog.read(piece, i * 100L);
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
            backlog.read(1, i);
        }
        assertThat(backlog.size()).isLessThan(20);
    }

    /** Guards against picture (d) of issue 63: what a client had written long ago and its own side held was taken for unwritten. */
    @Test
    void whatTheClientsSideHoldsMayHaveBeenWrittenWhenTheKernelWasLastNotFull() {
        backlog.looked(0, 5);
        backlog.rests(10);
        backlog.looked(Network.FULL, 10);
        backlog.looked(2 * Network.FULL, 500);
        int held = ReadBacklog.MOST_HELD + ReadBacklog.MOST_HELD_BY_CLIENT;
        assertThat(backlog.endMayHaveComeAt(held)).isEqualTo(5);
        assertThat(backlog.endMayHaveComeAt(held + 1)).isEqualTo(Long.MAX_VALUE);
        assertThat(backlog.read(2 * Network.FULL - 9, 600)).isEqualTo(5);
        backlog.drained(650);
        backlog.looked(9, 660);
        backlog.looked(9, 670);
        assertThat(backlog.endMayHaveComeAt(held))
                .as("nothing more comes, as much has to be free first")
                .isEqualTo(5);
        backlog.looked(10, 680);
        backlog.looked(11, 700);
        assertThat(backlog.endMayHaveComeAt(held))
                .as("its client's bytes come as they are written")
                .isEqualTo(Long.MAX_VALUE);
        backlog.looked(Network.FULL, 800);
        assertThat(backlog.endMayHaveComeAt(held)).isEqualTo(700);
        backlog.emptied(900);
        assertThat(backlog.read(1, 1_000)).as("the next request").isEqualTo(1_000);
    }
}
