package grebehoist.engine;

import beechfall.Balancer;
import java.util.List;

/**
 * Carries attempts to backends over some protocol. It sends nothing by itself and nothing again: each attempt is one
 * that the engine has asked for. Used by the engine's thread alone.
 */
public interface Transport {
    /**
     * Takes over news of the list, before the decision module hears of it.
     *
     * @return the attempts that have not been sent whole, to backends that want nothing new from now on; the engine
     *         ends them once the module has heard why
     */
    List<? extends Attempt> members(Balancer.ListKind kind, List<Listed> listed);

    /** Returns whether there is any backend to send to. */
    boolean anyReady();

    /**
     * Makes an attempt, not yet started.
     *
     * @param deadlineUs when this proxy will stop waiting for it, for the backend to know; the engine sees to that
     * @return null where there is no such backend or no room for another connection
     */
    Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end);

    /** Closes the idle connections to a backend. */
    void release(String backend);
}
