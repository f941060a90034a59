package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A holder's copy: which changes survive, and for how long removals do. */
class BookTest {
    private static final Replica.Sink NOBODY = (item, before) -> {};
    private final Book book = new Book("s", new Rules());

    private void take(long atUs, long version, String key, boolean removed) {
        book.take(atUs, new Link(version - 1, version, 1, key, removed ? null : new byte[0]), 3, NOBODY);
    }

    @Test
    void onlyTheLastChangeOfAKeySurvives() {
        take(0, 1, "a", false);
        take(0, 2, "b", false);
        take(0, 3, "a", true);
        take(0, 4, "a", false);
        take(0, 5, "b", false);
        assertThat(book.after(0)).isEqualTo(new Link(0, 4, 1, "a", book.at(4).value()));
        assertThat(book.after(4).prev()).isEqualTo(4);
        assertThat(book.after(4).version()).isEqualTo(5);
        assertThat(book.after(5)).isNull();
        assertThat(book.tombstones()).isZero();
        assertThat(book.last()).isEqualTo(5);
    }

    @Test
    void removalsAreForgottenByTimeAndByNumber() {
        for (int i = 1; i <= 5; i++) {
            take(i * 10, i, "k" + i, true);
        }
        assertThat(book.tombstones()).as("three at most").isEqualTo(3);
        assertThat(book.floor()).isEqualTo(2);
        book.forgetUntil(45);
        assertThat(book.tombstones()).isEqualTo(1);
        assertThat(book.floor()).isEqualTo(4);
        assertThat(book.after(0).prev()).as("nothing survives before it").isZero();
        assertThat(book.after(0).version()).isEqualTo(5);
        book.forgetUntil(60);
        assertThat(book.after(0)).isNull();
        assertThat(book.head()).isEqualTo(5);
        assertThat(book.last()).isZero();
    }

    @Test
    void aRemovalWhoseKeyIsBackIsForgottenWithoutHarm() {
        take(0, 1, "a", true);
        take(1, 2, "a", false);
        book.forgetUntil(10);
        assertThat(book.at(2)).isNotNull();
        assertThat(book.after(0).version()).isEqualTo(2);
    }
}
