import java.util.HashMap;
import java.util.List;

/** The holder of a timed task is killed after it has done a run, and another takes over: is each run done once? */
final class KilledHolder {
    private static final long EVERY_MS = 20_000;
    private static final long SETTLE_MS = 16_000;

    private KilledHolder() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, KilledHolder::play);
    }

    private static boolean play(Rig rig) throws Exception {
        try (var duty = new Duty(rig)) {
            duty.startAll(List.of(new Duty.Task("remind", false, EVERY_MS, 500)));
            // A task goes to the proxy that comes first for it after 10 s elsewhere: that is no part of this case.
            Thread.sleep(SETTLE_MS);
            int before = duty.effects().size();
            Duty.Effect done = duty.awaitEffect(before, EVERY_MS + 3_000);
            if (done == null) {
                throw new Rig.CannotRun("the task was not done");
            }
            // Long enough that the answer has been read.
            Thread.sleep(1_000);
            if (rig.trouble) {
                rig.note("kills " + done.holder() + ", which holds the task");
                rig.signal(duty.process(Duty.number(done.holder())), "KILL");
            }
            long end = (System.currentTimeMillis() / EVERY_MS + 1) * EVERY_MS + 2_000;
            Thread.sleep(end - System.currentTimeMillis());
            return judge(rig, duty.effects().subList(before, duty.effects().size()));
        }
    }

    private static boolean judge(Rig rig, List<Duty.Effect> effects) {
        var runs = new HashMap<Long, Duty.Effect>();
        boolean broken = false;
        for (Duty.Effect e : effects) {
            Duty.Effect before = runs.putIfAbsent(e.run(), e);
            if (before != null) {
                broken = true;
                rig.note("BROKEN: run " + e.run() + " was done twice: by " + before.holder() + ", and " + (e.atMs() - before.atMs())
                        + " ms later by " + e.holder());
            }
        }
        return broken;
    }
}
