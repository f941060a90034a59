package grebehoist.fleet.distribution;

/** What a writer asks of one of a scope's holders; whoever carries it gives the answer, or that there is none, back to the writer. */
public sealed interface Call {
    /** Returns the machine that is asked. */
    int machine();

    /** Returns the scope that it is about. */
    String scope();

    /** The scope is to exist; its first change has the version {@code base + 1}. */
    record Create(int machine, String scope, long base) implements Call {
        /** Returns why there can't be such a scope; null for nothing. */
        static String flaw(String scope, long base) {
            String flaw = Item.flaw(scope);
            return flaw != null || base >= 0 && base < Item.MOST_VERSION
                    ? flaw
                    : "version " + base + " for " + scope + " to begin with is out of bounds";
        }
    }

    /** Nothing older than this epoch may change the scope from now on; and what has it now? */
    record Open(int machine, String scope, long epoch) implements Call {}

    /** Is this the next change? In epoch 0 it is only asked whether it was, and nothing is kept. */
    record Offer(int machine, long epoch, Item item) implements Call {
        @Override
        public String scope() {
            return item.scope();
        }
    }

    /** This change was taken by two. */
    record Taken(int machine, String scope, long epoch, long version) implements Call {}
}
