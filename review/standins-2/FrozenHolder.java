import java.util.HashMap;
import java.util.List;

/** The holder of a fenced task is stopped for some seconds and goes on: is the task still done once in each period? */
final class FrozenHolder {
    private static final long EVERY_MS = 30_000;
    private static final long FROZEN_MS = 4_000;

    private FrozenHolder() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, FrozenHolder::play);
    }

    private static boolean play(Rig rig) throws Exception {
        try (var duty = new Duty(rig)) {
            // The proxies have met, and the task is where it belongs, well before a period begins.
            long toNext = EVERY_MS - System.currentTimeMillis() % EVERY_MS;
            if (toNext < 20_000) {
                Thread.sleep(toNext + 100);
            }
            duty.startAll(List.of(new Duty.Task("close-the-day", true, EVERY_MS, 5_000)));
            Duty.Effect first = duty.awaitEffect(0, 15_000);
            if (first == null) {
                throw new Rig.CannotRun("the task was not done at all");
            }
            // The first run may be late in its period; the next one comes with a period.
            Duty.Effect second = duty.awaitEffect(1, EVERY_MS + 3_000);
            if (second == null) {
                throw new Rig.CannotRun("the task was not done again");
            }
            Thread.sleep(300);
            if (rig.trouble) {
                Process holder = duty.process(Duty.number(second.holder()));
                rig.note("stops " + second.holder() + ", which holds the task");
                rig.signal(holder, "STOP");
                Thread.sleep(FROZEN_MS);
                rig.signal(holder, "CONT");
                rig.note(second.holder() + " goes on, " + FROZEN_MS + " ms later");
            } else {
                Thread.sleep(FROZEN_MS);
            }
            long end = (System.currentTimeMillis() / EVERY_MS + 1) * EVERY_MS + 2_000;
            Thread.sleep(end - System.currentTimeMillis());
            return judge(rig, duty.effects());
        }
    }

    /** Once in each period: the receiver saw when. */
    private static boolean judge(Rig rig, List<Duty.Effect> effects) {
        var periods = new HashMap<Long, Duty.Effect>();
        boolean broken = false;
        for (Duty.Effect e : effects) {
            long period = e.atMs() / EVERY_MS;
            Duty.Effect before = periods.putIfAbsent(period, e);
            if (before != null) {
                broken = true;
                rig.note("BROKEN: done twice in period " + period + ": run " + before.run() + " by " + before.holder() + ", and "
                        + (e.atMs() - before.atMs()) + " ms later run " + e.run() + " by " + e.holder() + ", "
                        + (EVERY_MS - e.atMs() % EVERY_MS) + " ms before the next period begins");
            }
        }
        return broken;
    }
}
