package grebehoist.fleet.distribution;

import java.util.List;

/**
 * One that changes a scope. Each call to this returns what is to be asked of the holders now; whoever carries the calls gives back what was
 * answered, and tells where nothing was. One change at a time: the next one may begin when {@link #result} is there.
 */
public final class Writer {
    /** What became of a change. */
    public sealed interface Result { }

    /** Two holders have it: it is lost only if both lose their memory together. */
    public record Taken(long version) implements Result { }

    /** It is not in force and never will be. */
    public record Refused(String why) implements Result { }

    /** It may come into force, or not. {@link #retry} finds out, or makes it so. */
    public record Unknown(String why) implements Result { }

    /**
     * Makes one.
     *
     * @param epoch greater than that of any writer before; milliseconds of the wall clock
     */
    public Writer(Layout layout, String scope, long epoch) {
        throw new UnsupportedOperationException("to come");
    }

    /** Creates the scope, or finds that it is there. */
    public List<Call> create(long base) {
        return List.of();
    }

    /**
     * Begins a change.
     *
     * @param value null to remove the item
     */
    public List<Call> change(int kind, String key, byte[] value) {
        return List.of();
    }

    /** Begins the same change again, with the same number, after a result that is {@link Unknown}; some time later is best. */
    public List<Call> retry() {
        return List.of();
    }

    /** A call was answered. */
    public List<Call> answered(Call call, Answer answer) {
        return List.of();
    }

    /** A call was not answered, and whether it has come is not known. */
    public List<Call> gaveUp(Call call) {
        return List.of();
    }

    /** Returns what became of it; null as long as that is not known. */
    public Result result() {
        return null;
    }
}
