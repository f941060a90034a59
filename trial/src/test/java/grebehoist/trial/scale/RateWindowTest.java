package grebehoist.trial.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RateWindowTest {
    @Test
    void itIsNeverLessThanAnyElevenSecondsHadAndNeverMoreThanAHalfSecondMore() {
        for (long seed = 1; seed <= 50; seed++) {
            var random = new SplittableRandom(seed);
            var window = new RateWindow();
            record Sent(long at, int bytes) {}
            List<Sent> all = new ArrayList<>();
            long at = 0;
            for (int i = 0; i < 400; i++) {
                at += random.nextInt(10) == 0 ? random.nextLong(15_000_000) : random.nextLong(300_000);
                all.add(new Sent(at, random.nextInt(256)));
                window.add(at, all.get(i).bytes());
            }
            long least = 0;
            long most = 0;
            for (Sent first : all) {
                least = Math.max(
                        least,
                        all.stream()
                                .filter(s -> s.at() >= first.at() && s.at() < first.at() + 11_000_000)
                                .mapToLong(Sent::bytes)
                                .sum());
                most = Math.max(
                        most,
                        all.stream()
                                .filter(s -> s.at() >= first.at() && s.at() < first.at() + 11_500_000)
                                .mapToLong(Sent::bytes)
                                .sum());
            }
            assertThat(window.greatest()).as("seed " + seed).isBetween(least, most);
        }
    }

    @Test
    void whatWasBeforeIsForgotten() {
        var window = new RateWindow();
        window.add(0, 100);
        window.add(1_000_000, 50);
        assertThat(window.greatest()).isEqualTo(150);
        window.reset();
        window.add(1_500_000, 20);
        assertThat(window.greatest()).isEqualTo(20);
    }
}
