package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which reads of a turn are put off, on a clock that the test moves. */
class ReadBudgetTest {
    private static final long CHEAP_NS = 20_000;
    private static final long DEAR_NS = ReadBudget.TURN_NS / 2;

    private final ReadBudget budget = new ReadBudget();
    private final List<Connection> read = new ArrayList<>();
    private long nowNs;

    private final class Connection implements ReadBudget.Reader {
        private final ReadBudget.Account account = new ReadBudget.Account(this);
        private final long costNs;
        private final int bytes;

        Connection(long costNs) {
            this(costNs, ReadBudget.LARGE_BYTES);
        }

        Connection(long costNs, int bytes) {
            this.costNs = costNs;
            this.bytes = bytes;
        }

        @Override
        public void readDeferred() {
            poll();
        }

        /** Reads as often as it may, once where that is dear. */
        private void poll() {
            if (budget.mayRead(account, nowNs)) {
                read.add(this);
                account.brought(bytes);
                nowNs += costNs;
            }
        }
    }

    private void turn(List<Connection> ready) {
        read.clear();
        budget.turnBegins();
        ready.forEach(Connection::poll);
        budget.handled(nowNs);
        budget.serveDeferred(() -> nowNs);
    }

    private static List<Connection> all(List<Connection> dear, Connection cheap) {
        var all = new ArrayList<>(dear);
        all.add(cheap);
        return all;
    }

    private List<Connection> dear(int number) {
        var dear = new ArrayList<Connection>();
        for (int i = 0; i < number; i++) {
            dear.add(new Connection(DEAR_NS));
        }
        // What a connection costs is known after two reads.
        turn(dear);
        turn(dear);
        return dear;
    }

    @Test
    void aTurnIsBoundedHoweverManyReadsAreDear() {
        List<Connection> dear = dear(100);
        var cheap = new Connection(CHEAP_NS);
        for (int i = 0; i < 50; i++) {
            long beganNs = nowNs;
            turn(all(dear, cheap));
            assertThat(nowNs - beganNs).isLessThan(ReadBudget.TURN_NS + 2 * DEAR_NS);
            assertThat(read).contains(cheap);
        }
    }

    @Test
    void eachOfThemHasItsTurn() {
        List<Connection> dear = dear(10);
        var seen = new ArrayList<Connection>();
        for (int i = 0; i < 10; i++) {
            turn(dear);
            seen.addAll(read);
        }
        assertThat(seen).containsAll(dear);
        for (Connection connection : dear) {
            assertThat(seen.stream().filter(c -> c == connection).count()).isBetween(1L, 5L);
        }
    }

    /** A pause of the process falls into one read, and is no reason to put off the next. */
    @Test
    void oneSlowReadPutsNothingOff() {
        var connection = new Connection(CHEAP_NS);
        turn(List.of(connection));
        assertThat(budget.mayRead(connection.account, nowNs)).isTrue();
        connection.account.brought(ReadBudget.LARGE_BYTES);
        nowNs += 10 * ReadBudget.TURN_NS;
        for (int i = 0; i < 3; i++) {
            turn(List.of(connection, connection));
            assertThat(read).hasSize(2);
        }
        assertThat(budget.hasDeferred()).isFalse();
    }

    /** On a slow machine all reads take long: what brings little is an ordinary request, or an end. */
    @Test
    void whatBringsLittleIsNotPutOff() {
        var little = new Connection(DEAR_NS, ReadBudget.LARGE_BYTES - 1);
        for (int i = 0; i < 5; i++) {
            turn(List.of(little, little, little));
            assertThat(read).hasSize(3);
        }
    }
}
