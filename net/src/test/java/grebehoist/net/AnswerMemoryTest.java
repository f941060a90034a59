package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against issue 77, review/6: what waited for clients that read slowly was bounded by nothing. */
class AnswerMemoryTest {
    private static final long MOST = 16_000_000;
    private static final long LONG = 60_000;

    private final AnswerMemory memory = new AnswerMemory(MOST);
    private final List<String> givenUp = new ArrayList<>();

    private AnswerMemory.Share share(String name) {
        return memory.share(() -> givenUp.add(name));
    }

    @Test
    void whoHoldsNothingMayAlwaysAskForOneAnswer() {
        share("full").hold(MOST);
        assertThat(share("other").mayReserve(LONG)).isTrue();
    }

    @Test
    void whoTakesAnswersSlowlyAsksForOneOnlyWhereThereIsRoom() {
        AnswerMemory.Share slow = share("slow");
        slow.slow(true);
        assertThat(slow.mayReserve(LONG)).isTrue();
        share("full").hold(MOST - LONG + 1);
        assertThat(slow.mayReserve(LONG)).isFalse();
        slow.slow(false);
        assertThat(slow.mayReserve(LONG)).isTrue();
    }

    @Test
    void furtherAnswersAreAskedForWithinAShareOfWhatIsFree() {
        int connections = 200;
        for (int i = 0; i < connections; i++) {
            AnswerMemory.Share share = share("s" + i);
            while (share.mayReserve(LONG)) {
                share.reserve(LONG);
                share.release(LONG);
                share.hold(LONG);
            }
        }
        assertThat(givenUp).isEmpty();
        assertThat(memory.held()).isBetween(connections * LONG, MOST);
    }

    @Test
    void pastTheBoundTheLargestIsGivenUpAndItsMemoryIsFree() {
        AnswerMemory.Share ordinary = share("ordinary");
        AnswerMemory.Share largest = share("largest");
        AnswerMemory.Share bounded = memory.share(null);
        ordinary.hold(LONG);
        largest.hold(MOST / 2);
        bounded.hold(MOST / 2);
        assertThat(givenUp).containsExactly("largest");
        assertThat(memory.held()).isEqualTo(MOST / 2 + LONG);
        largest.letGo(MOST / 2);
        assertThat(memory.held()).as("its answers fail later").isEqualTo(MOST / 2 + LONG);
        ordinary.letGo(LONG);
        bounded.close();
        assertThat(memory.held()).isZero();
    }

    /** Guards against a defect of the mend of issue 77: much waiting over HTTP closed every Thrift connection that held a reply. */
    @Test
    void answersThatCannotBeGivenUpCloseNobodyWhoHoldsLittle() {
        int bounded = 400;
        long each = 45_000;
        int ordinary = 8;
        for (int i = 0; i < bounded; i++) {
            memory.share(null).hold(each);
        }
        for (int i = 0; i < ordinary; i++) {
            AnswerMemory.Share share = share("ordinary" + i);
            assertThat(share.mayReserve(LONG)).isTrue();
            share.hold(60);
        }
        assertThat(givenUp).isEmpty();
        assertThat(memory.held()).isEqualTo(bounded * each + ordinary * 60);
    }

    @Test
    void besideAnswersThatCannotBeGivenUpTheOthersHoldHalfOfTheMemory() {
        memory.share(null).hold(MOST);
        share("largest").hold(MOST / 4 + 1);
        share("smaller").hold(MOST / 4);
        assertThat(givenUp).containsExactly("largest");
    }

    @Test
    void whoTakesAnswersSlowlyIsNotKeptOutByAnswersThatCannotBeGivenUp() {
        AnswerMemory.Share slow = share("slow");
        slow.slow(true);
        memory.share(null).hold(MOST);
        assertThat(slow.mayReserve(LONG)).isTrue();
        share("full").hold(MOST / 2 - LONG + 1);
        assertThat(slow.mayReserve(LONG)).isFalse();
    }
}
