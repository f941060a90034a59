package grebehoist.operations;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.operations.StateDirectory.Shared;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of one proxy on one directory. */
class StateDirectoryTest {
    @TempDir
    private Path directory;

    private static BlockingQueue<Shared> watch(StateDirectory state) {
        var seen = new LinkedBlockingQueue<Shared>();
        state.watch(Runnable::run, seen::add);
        return seen;
    }

    private static Shared await(BlockingQueue<Shared> seen, Predicate<Shared> wanted) throws InterruptedException {
        while (true) {
            Shared next = seen.poll(10, TimeUnit.SECONDS);
            assertThat(next).as("nothing more is told").isNotNull();
            if (wanted.test(next)) {
                return next;
            }
        }
    }

    private interface Call {
        void make(Consumer<Boolean> then);
    }

    private static boolean done(Call call) throws Exception {
        var done = new CompletableFuture<Boolean>();
        call.make(done::complete);
        return done.get(10, TimeUnit.SECONDS);
    }

    @Test
    void whatOneIsToldTheOtherHearsAndTheNextFinds() throws Exception {
        try (var old = new StateDirectory(directory, 1); var young = new StateDirectory(directory, 2)) {
            BlockingQueue<Shared> seenByOld = watch(old);
            BlockingQueue<Shared> seenByYoung = watch(young);
            assertThat(done(then -> old.suspend("a/b ?", then))).isTrue();
            assertThat(await(seenByYoung, s -> !s.suspended().isEmpty()).suspended()).containsExactly("a/b ?");
            assertThat(done(then -> young.suspend("a/b ?", then))).as("twice is once").isTrue();
            assertThat(done(then -> young.resume("a/b ?", then))).isTrue();
            await(seenByOld, s -> !s.suspended().isEmpty());
            await(seenByOld, s -> s.suspended().isEmpty());
            assertThat(done(then -> young.drain(true, then))).isTrue();
            await(seenByOld, Shared::drained);
            assertThat(done(then -> old.suspend("c", then))).isTrue();
            try (var third = new StateDirectory(directory, 3)) {
                assertThat(third.atStart()).isEqualTo(new Shared(Set.of("c"), true, 2, false));
            }
            assertThat(done(then -> old.drain(false, then))).isTrue();
            await(seenByYoung, s -> !s.drained());
        }
    }

    @Test
    void theOlderOneKnowsOfTheNewerAndOfItsEnd() throws Exception {
        try (var old = new StateDirectory(directory, 1)) {
            assertThat(old.atStart()).isEqualTo(new Shared(Set.of(), false, 0, false));
            BlockingQueue<Shared> seen = watch(old);
            try (var young = new StateDirectory(directory, 2)) {
                assertThat(young.atStart().others()).isEqualTo(1);
                assertThat(young.atStart().newer()).isFalse();
                assertThat(await(seen, s -> s.others() == 1).newer()).isTrue();
            }
            assertThat(await(seen, s -> s.others() == 0).newer()).isFalse();
        }
    }

    /** A process that was killed leaves its file, and no lock on it. */
    @Test
    void aDeadProcessIsForgotten() throws Exception {
        Path dead = Files.createFile(directory.resolve("process-0000000000000009-1"));
        try (var state = new StateDirectory(directory, 1)) {
            assertThat(state.atStart().others()).isZero();
            assertThat(dead).doesNotExist();
        }
        try (var left = Files.list(directory)) {
            assertThat(left).isEmpty();
        }
    }

    @Test
    void thereIsABoundAndWhatIsOverItIsToldSo() throws Exception {
        try (var state = new StateDirectory(directory, 1)) {
            for (int i = 0; i < StateDirectory.MOST_SUSPENDED; i++) {
                Files.createFile(directory.resolve("suspended-" + Base64.getUrlEncoder().withoutPadding().encodeToString(("b" + i).getBytes())));
            }
            BlockingQueue<Shared> seen = watch(state);
            await(seen, s -> s.suspended().size() == StateDirectory.MOST_SUSPENDED);
            assertThat(done(then -> state.suspend("more", then))).isFalse();
            assertThat(done(then -> state.suspend("b7", then))).isTrue();
            assertThat(done(then -> state.suspend("x".repeat(400), then))).as("no file has such a name").isFalse();
        }
    }

    /** What holds goes on to hold where the files can't be read for a while. */
    @Test
    void aDirectoryThatIsTakenAwayChangesNothing() throws Exception {
        Path moved = directory.resolveSibling(directory.getFileName() + "-moved");
        try (var state = new StateDirectory(directory, 1)) {
            BlockingQueue<Shared> seen = watch(state);
            assertThat(done(then -> state.suspend("a", then))).isTrue();
            await(seen, s -> s.suspended().contains("a"));
            Files.move(directory, moved);
            assertThat(done(then -> state.suspend("b", then))).isFalse();
            Files.move(moved, directory);
            assertThat(done(then -> state.suspend("b", then))).isTrue();
            assertThat(seen.take().suspended()).containsExactlyInAnyOrder("a", "b");
        } catch (IOException e) {
            throw new AssertionError("the directory could not be put back", e);
        }
    }
}
