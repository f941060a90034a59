import java.util.ArrayList;
import java.util.List;

/** A task is added to the file, and the proxies are restarted one after the other: does one proxy at a time do the task that was there? */
final class ChangedTasks {
    private static final long EVERY_MS = 5_000;
    private static final long SETTLE_MS = 16_000;
    /** Between two restarts. */
    private static final long PAUSE_MS = 6_000;

    private static final Duty.Task OLD = new Duty.Task("remind", false, EVERY_MS, 500);
    private static final Duty.Task ADDED = new Duty.Task("count-readings", false, EVERY_MS, 500);

    private ChangedTasks() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, ChangedTasks::play);
    }

    private static boolean play(Rig rig) throws Exception {
        try (var duty = new Duty(rig)) {
            duty.startAll(List.of(OLD));
            Thread.sleep(SETTLE_MS);
            int before = duty.effects().size();
            Duty.Effect done = duty.awaitEffect(before, EVERY_MS + 3_000);
            if (done == null) {
                throw new Rig.CannotRun("the task was not done");
            }
            // The holder comes last, so that the restarts themselves move nothing.
            int holder = Duty.number(done.holder());
            var order = new ArrayList<>(List.of(0, 1, 2));
            order.remove(Integer.valueOf(holder));
            for (int number : order) {
                rig.note("tells n" + number + " to end" + (rig.trouble ? ", and starts it with a file that has a further task" : ", and starts it again"));
                rig.signal(duty.process(number), "TERM");
                duty.process(number).waitFor();
                duty.start(number, rig.trouble ? List.of(ADDED, OLD) : List.of(OLD));
                duty.awaitReady(number);
                Thread.sleep(PAUSE_MS);
            }
            // What an operator does who looks for a while whether all is well.
            Thread.sleep(3 * EVERY_MS);
            List<Duty.Effect> effects = duty.effects();
            return judge(rig, effects.subList(before, effects.size()));
        }
    }

    private static boolean judge(Rig rig, List<Duty.Effect> effects) {
        boolean broken = false;
        for (int i = 0; i < effects.size(); i++) {
            Duty.Effect e = effects.get(i);
            for (Duty.Effect before : effects.subList(0, i)) {
                if (before.task().equals(e.task()) && before.run() == e.run() && !before.holder().equals(e.holder())
                        && e.task().equals(OLD.name())) {
                    broken = true;
                    rig.note("BROKEN: run " + e.run() + " of " + e.task() + " was done twice: by " + before.holder() + ", and "
                            + (e.atMs() - before.atMs()) + " ms later by " + e.holder());
                }
            }
        }
        return broken;
    }
}
