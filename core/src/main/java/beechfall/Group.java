package beechfall;

import java.util.BitSet;

/**
 * Backends of one kind, list weight and nearness: until a backend has answers of its own, its weight is its group's, and after a
 * refresh all of them have the same deadline. So a refresh costs nothing for each of them.
 */
final class Group {
    /** What makes backends alike. */
    record Key(Kind kind, double listed, double near) {}

    private final Key key;
    private double weight;
    /** By index in the order by hash: all of its backends; those that are calm and have neither turns nor answers of their own. */
    private final BitSet members = new BitSet();

    private final BitSet untouched = new BitSet();

    Group(Key key) {
        this.key = key;
    }

    Key key() {
        return key;
    }

    BitSet members() {
        return members;
    }

    BitSet untouched() {
        return untouched;
    }

    /** Returns its backends' weight, in the unit of 1 / response time until the sum is known, as a part of that sum from then on. */
    double weight() {
        return weight;
    }

    void weight(double value) {
        weight = value;
    }

    /** The deadline of a backend without turns: 1 / weight, nearer ones being worth more. */
    double deadline() {
        return 1 / (weight * key.near());
    }
}
