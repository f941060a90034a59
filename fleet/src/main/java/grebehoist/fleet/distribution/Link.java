package grebehoist.fleet.distribution;

/**
 * A surviving change and the version of the one that survives before it: between the two all has been superseded by what comes later.
 *
 * @param prev 0 for none before
 * @param key null where there is no change: nothing survives from {@code prev} to {@code version}
 * @param value null for a removal
 */
record Link(long prev, long version, int kind, String key, byte[] value) {
    static Link of(long prev, Item item) {
        return new Link(prev, item.version(), item.kind(), item.key(), item.value());
    }

    static Link nothing(long prev, long version) {
        return new Link(prev, version, 0, null, null);
    }

    Item item(String scope) {
        return new Item(kind, scope, key, value, version);
    }
}
