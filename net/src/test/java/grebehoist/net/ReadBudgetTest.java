package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which reads of a turn are put off, on a clock that the test moves. */
class ReadBudgetTest {
    private static final long LONG_NS = ReadBudget.TURN_NS / 2;

    private final ReadBudget budget = new ReadBudget();
    private final List<Connection> read = new ArrayList<>();
    private long nowNs;

    private final class Connection implements ReadBudget.Reader {
        private final ReadBudget.Account account = new ReadBudget.Account(this);
        private final long costNs;
        private final int bytes;

        Connection(long costNs, int bytes) {
            this.costNs = costNs;
            this.bytes = bytes;
        }

        @Override
        public void readDeferred() {
            poll();
        }

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

    private Connection ordinary(long costNs) {
        return new Connection(costNs, ReadBudget.LARGE_BYTES - 1);
    }

    private List<Connection> bulk(int number, long costNs) {
        var bulk = new ArrayList<Connection>();
        for (int i = 0; i < number; i++) {
            bulk.add(new Connection(costNs, ReadBudget.LARGE_BYTES));
        }
        // What a connection brings is known after two reads.
        turn(bulk);
        turn(bulk);
        return bulk;
    }

    private static List<Connection> all(List<Connection> bulk, Connection ordinary) {
        var all = new ArrayList<>(bulk);
        all.add(ordinary);
        return all;
    }

    private void aTurnIsBounded(int number, long costNs) {
        List<Connection> bulk = bulk(number, costNs);
        var ordinary = ordinary(1);
        for (int i = 0; i < 50; i++) {
            long beganNs = nowNs;
            turn(all(bulk, ordinary));
            assertThat(nowNs - beganNs).isLessThanOrEqualTo(ReadBudget.TURN_NS + 2 * costNs + 1);
            assertThat(read).contains(ordinary);
        }
    }

    @Test
    void aTurnIsBoundedWhereReadsTakeLong() {
        aTurnIsBounded(100, LONG_NS);
    }

    /** Guards against review case 5: reads that are short each hold a turn up together. */
    @Test
    void aTurnIsBoundedWhereShortReadsAreMany() {
        aTurnIsBounded(1_000, ReadBudget.TURN_NS / 50);
    }

    @Test
    void eachOfThemHasItsTurn() {
        List<Connection> bulk = bulk(10, LONG_NS);
        var seen = new ArrayList<Connection>();
        for (int i = 0; i < 10; i++) {
            turn(bulk);
            seen.addAll(read);
        }
        assertThat(seen).containsAll(bulk);
        for (Connection connection : bulk) {
            assertThat(seen.stream().filter(c -> c == connection).count()).isBetween(1L, 5L);
        }
    }

    /** Guards against a crowd of issue 67: the first two reads of each connection were free, and of 32 KiB. */
    @Test
    void aCrowdOfNewConnectionsTakesOneShortReadEachOfATurn() {
        var crowd = new ArrayList<Connection>();
        for (int i = 0; i < 500; i++) {
            crowd.add(new Connection(LONG_NS / 10, ReadBudget.LEAST_ROOM_BYTES));
        }
        for (Connection connection : crowd) {
            assertThat(connection.account.room(ReadBudget.LEAST_ROOM_BYTES * 16))
                    .isEqualTo(ReadBudget.LEAST_ROOM_BYTES);
        }
        var twice = new ArrayList<>(crowd);
        twice.addAll(crowd);
        turn(twice);
        assertThat(read).hasSizeBetween(crowd.size(), crowd.size() + 1);
    }

    @Test
    void aReadTakesWhatCanBeHandledInItsTime() {
        int dear = 10_000;
        var connection = new Connection(ReadBudget.READ_NS, dear);
        connection.poll();
        budget.handled(nowNs);
        assertThat(connection.account.room(4 * dear)).isBetween(dear * 9 / 10, dear);
        var cheap = new Connection(dear, dear);
        cheap.poll();
        budget.handled(nowNs);
        assertThat(cheap.account.room(4 * dear)).isEqualTo(4 * dear);
        var dearest = new Connection(100 * ReadBudget.READ_NS, dear);
        dearest.poll();
        budget.handled(nowNs);
        assertThat(dearest.account.room(4 * dear)).isEqualTo(ReadBudget.LEAST_ROOM_BYTES);
    }

    /** A kept connection may bring a longer request now and then. */
    @Test
    void oneLargeReadPutsNothingOff() {
        var connection = ordinary(LONG_NS);
        for (int i = 0; i < 5; i++) {
            turn(List.of(connection, connection, connection));
            assertThat(read).hasSize(3);
            assertThat(budget.mayRead(connection.account, nowNs)).isTrue();
            connection.account.brought(10 * ReadBudget.LARGE_BYTES);
            nowNs += LONG_NS;
        }
        assertThat(budget.hasDeferred()).isFalse();
    }

    /** On a slow machine all reads take long: what brings little is an ordinary request, or an end. */
    @Test
    void whatBringsLittleIsNotPutOff() {
        var little = ordinary(LONG_NS);
        for (int i = 0; i < 5; i++) {
            turn(List.of(little, little, little));
            assertThat(read).hasSize(3);
        }
    }
}
