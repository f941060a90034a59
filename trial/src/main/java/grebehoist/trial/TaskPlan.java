package grebehoist.trial;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The tasks of a trial: which there are, who grants them, and the installation file that tells a process so.
 *
 * @param tasks so many; every second one is timed
 * @param members of the fleet: the first three of them, or five, or seven, grant
 */
record TaskPlan(int tasks, int members) {
    static final long LEASE_MS = 2_000;
    static final long EVERY_MS = 800;
    static final long ACT_MS = 900;
    /** The longest effect is over before the call is given up. */
    static final long LONGEST_EFFECT_MS = 500;

    private static final int MOST_VOTERS = 5;

    static String name(int task) {
        return "t" + task;
    }

    static boolean fenced(int task) {
        return task % 2 == 0;
    }

    List<Integer> voters() {
        return IntStream.range(0, members >= MOST_VOTERS ? MOST_VOTERS : 3)
                .boxed()
                .toList();
    }

    /** Returns the file of one process. */
    String installation(
            String name,
            int number,
            String zone,
            InetSocketAddress listen,
            List<InetSocketAddress> peers,
            InetSocketAddress receiver) {
        var text = new StringBuilder("[process]\nname = \"" + name + "\"\n[membership]\nlisten = \"" + text(listen)
                + "\"\nnumber = " + number
                + "\nzone = \"" + zone + "\"\npeers = ["
                + String.join(", ", peers.stream().map(p -> '"' + text(p) + '"').toList())
                + "]\n[[membership.key]]\nid = 1\nsecret = \"" + "5a".repeat(16) + "\"\n[lease]\nvoters = " + voters()
                + "\nlease_ms = " + LEASE_MS + "\n");
        for (int t = 0; t < tasks; t++) {
            text.append("[[task]]\nname = \"")
                    .append(name(t))
                    .append("\"\nclass = \"")
                    .append(fenced(t) ? "fenced" : "timed")
                    .append("\"\ncall = \"")
                    .append(text(receiver))
                    .append("\"\nevery_ms = ")
                    .append(EVERY_MS)
                    .append("\nact_ms = ")
                    .append(ACT_MS)
                    .append('\n');
        }
        return text.toString();
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }
}
