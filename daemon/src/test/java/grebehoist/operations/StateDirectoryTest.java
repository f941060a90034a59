package grebehoist.operations;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.net.StderrLog;
import grebehoist.operations.StateDirectory.Shared;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Base64;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of one proxy on one directory. */
class StateDirectoryTest {
    @TempDir
    private Path directory;

    /** Both processes' owners: requests and news run there, as on an event loop. */
    private final ExecutorService owner = Executors.newSingleThreadExecutor();

    @AfterEach
    void end() {
        owner.shutdownNow();
    }

    private StateDirectory open() throws IOException {
        return new StateDirectory(directory, new StderrLog());
    }

    private BlockingQueue<Shared> watch(StateDirectory state) {
        var seen = new LinkedBlockingQueue<Shared>();
        state.watch(owner, seen::add);
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
        try (var old = open();
                var young = open()) {
            BlockingQueue<Shared> seenByOld = watch(old);
            BlockingQueue<Shared> seenByYoung = watch(young);
            assertThat(done(then -> old.suspend("a/b ?", then))).isTrue();
            assertThat(await(seenByYoung, s -> !s.suspended().isEmpty()).suspended())
                    .containsExactly("a/b ?");
            assertThat(done(then -> young.suspend("a/b ?", then)))
                    .as("twice is once")
                    .isTrue();
            assertThat(done(then -> young.resume("a/b ?", then))).isTrue();
            await(seenByOld, s -> !s.suspended().isEmpty());
            await(seenByOld, s -> s.suspended().isEmpty());
            assertThat(done(then -> young.drain(true, then))).isTrue();
            await(seenByOld, Shared::drained);
            assertThat(done(then -> old.suspend("c", then))).isTrue();
            try (var third = open()) {
                assertThat(third.atStart()).isEqualTo(new Shared(Set.of("c"), true, 2, false));
            }
            assertThat(done(then -> old.drain(false, then))).isTrue();
            await(seenByYoung, s -> !s.drained());
        }
    }

    @Test
    void theOlderOneKnowsOfTheNewerAndOfItsEnd() throws Exception {
        try (var old = open()) {
            assertThat(old.atStart()).isEqualTo(new Shared(Set.of(), false, 0, false));
            BlockingQueue<Shared> seen = watch(old);
            try (var young = open()) {
                assertThat(young.atStart().others()).isEqualTo(1);
                assertThat(young.atStart().newer()).isFalse();
                assertThat(await(seen, s -> s.others() == 1).newer()).isTrue();
            }
            assertThat(await(seen, s -> s.others() == 0).newer()).isFalse();
        }
    }

    @Test
    void aNewProcessTellsWhenItIsAboutToServe() throws Exception {
        try (var old = open()) {
            BlockingQueue<Shared> seen = watch(old);
            try (var young = open()) {
                assertThat(await(seen, s -> s.others() == 1).newerServes()).isFalse();
                watch(young);
                young.announce(0);
                assertThat(await(seen, Shared::newerServes).newer()).isTrue();
            }
        }
    }

    @Test
    void whatOneWasToldOfDrainsTheOtherHearsAndTheNextFinds() throws Exception {
        long toldAt = StateDirectory.clockMs();
        try (var old = open();
                var young = open()) {
            BlockingQueue<Shared> seen = watch(young);
            old.tellDrains(Map.of("a/b ?", toldAt));
            assertThat(await(seen, s -> !s.drains().isEmpty()).drains()).isEqualTo(Map.of("a/b ?", toldAt));
            try (var third = open()) {
                assertThat(third.atStart().drains()).isEqualTo(Map.of("a/b ?", toldAt));
            }
            old.tellDrains(Map.of());
            await(seen, s -> s.drains().isEmpty());
        }
    }

    /** What can't be read as a list of drains is no reason to forget what operators have asked. */
    @Test
    void aFileOfDrainsThatCannotBeReadHidesNothing() throws Exception {
        try (var state = open()) {
            BlockingQueue<Shared> seen = watch(state);
            Files.writeString(directory.resolve("drains-1-x"), "no list\n");
            assertThat(done(then -> state.suspend("a", then))).isTrue();
            await(seen, s -> s.suspended().contains("a"));
        }
    }

    /** Issue 73: the old process of an upgrade that finishes long answers would have half of the descriptors for as long as these take. */
    @Test
    void aProcessThatFinishesLongAnswersKeepsOnlyWhatItHolds() throws Exception {
        try (var old = open();
                var young = open()) {
            BlockingQueue<Shared> seen = watch(young);
            assertThat(await(seen, s -> true).others()).isEqualTo(1);
            old.finishing(40);
            Shared finishing = await(seen, s -> s.others() == 0);
            assertThat(finishing.processes().finishingSockets()).isEqualTo(40);
            old.finishing(3);
            await(seen, s -> s.processes().finishingSockets() == 3);
            try (var third = open()) {
                assertThat(third.atStart().others())
                        .as("it has nobody to take over from there")
                        .isEqualTo(1);
            }
        }
    }

    /** One of an older version says nothing, and may serve. */
    @Test
    void aNewProcessThatSaysNothingIsTakenToServe() throws Exception {
        try (var old = open()) {
            BlockingQueue<Shared> seen = watch(old);
            Path silent = directory.resolve("process-0000000000000009-1");
            try (var file = FileChannel.open(silent, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                    var lock = file.lock()) {
                assertThat(lock.isValid()).isTrue();
                Shared now = await(seen, s -> s.others() == 1);
                assertThat(now.newer()).isTrue();
                assertThat(now.newerServes()).isTrue();
            }
        }
    }

    /** A process that was killed leaves its file, and no lock on it. */
    @Test
    void aDeadProcessIsForgotten() throws Exception {
        Path dead = Files.createFile(directory.resolve("process-0000000000000009-1"));
        try (var state = open()) {
            assertThat(state.atStart().others()).isZero();
            assertThat(dead).doesNotExist();
        }
        try (var left = Files.list(directory)) {
            assertThat(left).containsExactly(directory.resolve(StateFiles.CLAIMS));
        }
    }

    @Test
    void thereIsABoundAndWhatIsOverItIsToldSo() throws Exception {
        try (var state = open()) {
            for (int i = 0; i < StateDirectory.MOST_SUSPENDED; i++) {
                Files.createFile(directory.resolve(
                        "suspended-" + Base64.getUrlEncoder().withoutPadding().encodeToString(("b" + i).getBytes())));
            }
            BlockingQueue<Shared> seen = watch(state);
            await(seen, s -> s.suspended().size() == StateDirectory.MOST_SUSPENDED);
            assertThat(done(then -> state.suspend("more", then))).isFalse();
            assertThat(done(then -> state.suspend("b7", then))).isTrue();
            assertThat(done(then -> state.suspend("x".repeat(400), then)))
                    .as("no file has such a name")
                    .isFalse();
        }
    }

    /** A resume that can't be written is in force as well; one that a later request has replaced is answered with no. */
    @Test
    void theLastRequestCounts() throws Exception {
        Path moved = directory.resolveSibling(directory.getFileName() + "-moved");
        try (var state = open()) {
            BlockingQueue<Shared> seen = watch(state);
            assertThat(done(then -> state.suspend("a", then))).isTrue();
            Files.move(directory, moved);
            var resumed = new CompletableFuture<Boolean>();
            state.resume("a", resumed::complete);
            await(seen, s -> s.suspended().contains("a"));
            await(seen, s -> s.suspended().isEmpty());
            var suspended = new CompletableFuture<Boolean>();
            state.suspend("a", suspended::complete);
            await(seen, s -> s.suspended().contains("a"));
            assertThat(resumed.get(10, TimeUnit.SECONDS)).isFalse();
            Files.move(moved, directory);
            assertThat(suspended.get(10, TimeUnit.SECONDS)).isTrue();
        }
        try (var next = open()) {
            assertThat(next.atStart().suspended()).containsExactly("a");
        }
    }

    /** A process's file that can't be opened: that process may live, and what operators have asked is read all the same. */
    @Test
    void aProcessFileThatCannotBeOpenedHidesNothing() throws Exception {
        Files.createDirectory(directory.resolve("process-0000000000000001-1"));
        try (var state = open();
                var other = open()) {
            BlockingQueue<Shared> seen = watch(state);
            watch(other);
            assertThat(seen.take().others()).isPositive();
            assertThat(done(then -> other.suspend("a", then))).isTrue();
            assertThat(await(seen, s -> !s.suspended().isEmpty()).suspended()).containsExactly("a");
        }
    }

    /** The order of processes does not go by the wall clock: one that begins after a step back is the newer one all the same. */
    @Test
    void theNewerOneIsNewerWhateverTheClockSays() throws Exception {
        Files.createFile(directory.resolve("process-9000000000000000-1"));
        try (var old = open();
                var young = open()) {
            BlockingQueue<Shared> seen = watch(old);
            assertThat(await(seen, s -> s.others() == 1).newer()).isTrue();
            assertThat(young.atStart().newer()).isFalse();
        }
    }

    /** What holds goes on to hold where the files can't be read for a while. */
    @Test
    void aDirectoryThatIsTakenAwayChangesNothing() throws Exception {
        Path moved = directory.resolveSibling(directory.getFileName() + "-moved");
        try (var state = open()) {
            BlockingQueue<Shared> seen = watch(state);
            assertThat(done(then -> state.suspend("a", then))).isTrue();
            await(seen, s -> s.suspended().contains("a"));
            Files.move(directory, moved);
            var lasts = new CompletableFuture<Boolean>();
            state.suspend("b", lasts::complete);
            assertThat(await(seen, s -> s.suspended().size() > 1).suspended())
                    .as("in force before it lasts")
                    .containsExactlyInAnyOrder("a", "b");
            assertThat(lasts).isNotDone();
            Files.move(moved, directory);
            assertThat(lasts.get(10, TimeUnit.SECONDS))
                    .as("written once the directory is back, without another call")
                    .isTrue();
            try (var next = open()) {
                assertThat(next.atStart().suspended()).containsExactlyInAnyOrder("a", "b");
            }
            assertThat(seen)
                    .as("nothing but the other process")
                    .allMatch(s -> s.suspended().equals(Set.of("a", "b")));
        } catch (IOException e) {
            throw new AssertionError("the directory could not be put back", e);
        }
    }
}
