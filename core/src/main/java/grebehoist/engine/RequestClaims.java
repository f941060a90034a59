package grebehoist.engine;

/**
 * Which requests the processes of one proxy have sent on. A process that takes over from another serves beside it for some seconds, and a
 * client that has left one of them may come to the other with the same id: what may run only once is sent on by the one that claims it.
 *
 * <p>A claim runs out by itself, so that a process that ends without a word blocks nothing for long. Used by the engine's thread; no
 * method waits.
 */
public interface RequestClaims {
    /** For a process that has no other beside it. */
    RequestClaims NONE = new RequestClaims() {
        @Override
        public boolean claim(String id, long keepUs) {
            return true;
        }

        @Override
        public void release(String id) {}
    };

    /**
     * Claims a request, or keeps a claim for longer.
     *
     * @param keepUs how long the claim lasts from now on, in microseconds
     * @return whether it is this process's; otherwise another process has it, and the request may have run there
     */
    boolean claim(String id, long keepUs);

    /** Gives a claim up: the request has not run, and will not. Without effect where there is none. */
    void release(String id);
}
