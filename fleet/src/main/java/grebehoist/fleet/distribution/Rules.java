package grebehoist.fleet.distribution;

import java.util.Collection;

/**
 * The decisions that all rests on. Each can be overridden, so that a search can be shown to find it missing; the program uses them as they are.
 */
public class Rules {
    /** Returns whether a writer's epoch is older than what was promised to another one. */
    protected boolean older(long epoch, long promised) {
        return epoch < promised;
    }

    /** Returns whether a surviving change follows on what is there: nothing that survives lies between. */
    protected boolean follows(long have, long prev, long version) {
        return prev <= have && have < version;
    }

    /** Returns whether what was not acknowledged is sent again. */
    protected boolean repairs() {
        return true;
    }

    /** Returns whether a removal stays among the changes that are passed on. */
    protected boolean remembers(Item removal) {
        return true;
    }

    /** Returns what a holder keeps of a change before it says that it holds it. */
    protected Item kept(Item offered) {
        return offered;
    }

    /** Returns how many of so many holders have to hold a change so that it is taken: a majority. */
    protected int enough(int holders) {
        return holders / 2 + 1;
    }

    /** Returns whether a machine that starts counts as a holder: the others have told all that they hold, and it has it too. */
    protected boolean counts(boolean allListed, long have, long listed) {
        return allListed && have >= listed;
    }

    /** Returns which change a writer has to offer before its own, out of those that the holders may have taken; null for none. */
    protected Answer.Opened toAdopt(Collection<Answer.Opened> answers, long head) {
        Answer.Opened newest = null;
        for (Answer.Opened a : answers) {
            if (a.pending() != null
                    && a.pending().version() == head + 1
                    && (newest == null || a.pendingEpoch() > newest.pendingEpoch())) {
                newest = a;
            }
        }
        return newest;
    }

    /** Returns whether the answers of two holders count together: each is of the life that the other has heard of last. */
    protected boolean together(int a, Lives ofA, int b, Lives ofB) {
        return ofA.of().get(b) != null
                && ofA.of().get(b).equals(ofB.of().get(b))
                && ofB.of().get(a) != null
                && ofB.of().get(a).equals(ofA.of().get(a));
    }

    /** Returns how many bytes may be sent to a proxy now. */
    protected double allowance(double tokens) {
        return tokens;
    }
}
