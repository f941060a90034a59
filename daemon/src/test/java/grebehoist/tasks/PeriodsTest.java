package grebehoist.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.tasks.Runs.Heard;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A fenced task moves among three members by a seed: they are stopped for times that the lease bears and times that it does not, killed, told to end,
 * and it goes home. Their clocks differ by a second. Guards against issue 73, review/9, where a member that held the task again did a run in the period
 * before: each period of the true clock has one effect, and none is left out.
 */
class PeriodsTest {
    private static final int MEMBERS = 3;
    private static final long STEP_US = 20_000;
    private static final long S = 1_000_000;
    private static final long EVERY_US = 20 * S;
    private static final int PERIODS = 30;
    private static final long LEASE_US = 2 * S;
    private static final long CLOCKS_APART_US = S;
    private static final int SCRIPTS = 200;
    /** On average the holder has its next trouble after so long. */
    private static final int TROUBLE_EVERY_STEPS = 300;

    /** Does each run once, one after the other, for the greatest token that it has seen. */
    private static final class Receiver {
        private final List<Long> effectsAt = new ArrayList<>();
        private long token;
        private long run;

        Heard call(long nowUs, long withToken, long wanted) {
            if (withToken < token) {
                return Heard.FENCED_OFF;
            }
            token = withToken;
            if (wanted <= run) {
                return Heard.DONE_BEFORE;
            }
            run = wanted;
            effectsAt.add(nowUs);
            return Heard.DONE;
        }
    }

    private static final class Member {
        private final long clockOffUs;
        private Runs runs = new Runs(EVERY_US);
        private long stoppedUntilUs;

        Member(long clockOffUs) {
            this.clockOffUs = clockOffUs;
        }
    }

    private static List<Long> play(long seed) {
        var random = new Random(seed);
        var receiver = new Receiver();
        var members = new ArrayList<Member>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(new Member(-CLOCKS_APART_US / 2 + i * CLOCKS_APART_US / (MEMBERS - 1)));
        }
        int holder = 0;
        long token = 1;
        long heldUntilUs = Long.MAX_VALUE;
        for (long now = EVERY_US; now < (PERIODS + 1) * EVERY_US; now += STEP_US) {
            if (now >= heldUntilUs) {
                holder = (holder + 1 + random.nextInt(MEMBERS - 1)) % MEMBERS;
                token++;
                heldUntilUs = Long.MAX_VALUE;
                members.get(holder).runs.begin();
            }
            Member acts = members.get(holder);
            if (heldUntilUs == Long.MAX_VALUE && random.nextInt(TROUBLE_EVERY_STEPS) == 0) {
                heldUntilUs = now + trouble(random, acts, now);
            }
            if (now < acts.stoppedUntilUs || heldUntilUs < Long.MAX_VALUE) {
                continue;
            }
            long clock = now + acts.clockOffUs;
            long run = acts.runs.due(clock);
            if (run > 0) {
                long before = receiver.run;
                acts.runs.ended(clock, run, receiver.call(now, token, run), before);
            }
        }
        return receiver.effectsAt;
    }

    /** Something happens to the holder; returns how long nobody holds the task, or {@link Long#MAX_VALUE} less the time where it stays. */
    private static long trouble(Random random, Member holder, long now) {
        return switch (random.nextInt(4)) {
            case 0 -> {
                // Killed, and started again before it has its next turn.
                holder.runs = new Runs(EVERY_US);
                yield LEASE_US;
            }
            case 1 -> {
                long stopUs = random.nextLong(8 * S);
                holder.stoppedUntilUs = now + stopUs;
                yield stopUs < LEASE_US ? Long.MAX_VALUE - now : LEASE_US;
            }
            case 2 -> {
                // Told to end: it gives the task back, and is started again.
                holder.runs = new Runs(EVERY_US);
                yield STEP_US;
            }
            default -> STEP_US;
        };
    }

    @ParameterizedTest
    @ValueSource(longs = 73_000)
    void eachPeriodHasOneEffect(long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + SCRIPTS; seed++) {
            var periods = new ArrayList<Long>();
            for (long at : play(seed)) {
                periods.add(at / EVERY_US);
            }
            var all = new ArrayList<Long>();
            for (long period = 1; period <= PERIODS; period++) {
                all.add(period);
            }
            assertThat(periods).as("seed %d", seed).isEqualTo(all);
        }
    }
}
