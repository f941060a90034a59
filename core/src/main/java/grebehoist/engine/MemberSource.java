package grebehoist.engine;

import beechfall.Balancer.ListKind;
import java.util.List;

/** Where the list of backends comes from. Used by the engine's thread alone. */
public interface MemberSource {
    /** Hears what a source has to tell. */
    interface Sink {
        /**
         * News of the list, or {@link ListKind#FAILED} with no lines where a call has brought none.
         */
        void members(ListKind kind, List<Listed> listed);
    }

    /** Begins to tell changes as they come, or ends that. One that goes on already is left alone. */
    void watch(boolean on);

    /** Asks for the whole list, once. */
    void fetch();
}
