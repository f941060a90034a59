package grebehoist.fleet.membership;

/** How ill this member itself is (Lifeguard, 4.1): one that hears late must not judge others by it. */
final class LocalHealth {
    private int ill;

    /** Returns what all waits are multiplied by. */
    int scale() {
        return 1 + ill;
    }

    void worse(int by) {
        ill = Math.min(Terms.MOST_ILL, ill + by);
    }

    void better() {
        ill = Math.max(0, ill - 1);
    }
}
