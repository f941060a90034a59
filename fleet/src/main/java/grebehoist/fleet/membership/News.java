package grebehoist.fleet.membership;

import java.util.List;

/** What members pass on of each other. */
public sealed interface News permits News.Rumour, News.Reach {
    /** Nobody in particular. */
    int NOBODY = -1;
    /** The most that one member says of whom it does not reach. */
    int MOST_REACH = 3;

    /**
     * The state of a member.
     *
     * @param about its number
     * @param incarnation raised by the member itself alone, to object
     * @param by who has found it suspect or dead, or {@link #NOBODY}
     * @param zone its zone, or empty where it is not told
     */
    record Rumour(int about, State state, long incarnation, int by, String zone) implements News {}

    /**
     * Whom a member hears of through others alone: it lives, and yet is not reached from there. A later version replaces the one before,
     * whole; nothing in it means that all are reached.
     *
     * @param by the number of the member whose finding this is
     * @param members the numbers of those that it does not reach
     * @param zones the zones of which it reaches nobody, or few
     */
    record Reach(int by, long version, List<Integer> members, List<String> zones) implements News {
        public Reach {
            members = List.copyOf(members);
            zones = List.copyOf(zones);
        }

        /** Returns whether it says that a member is not reached. */
        boolean lacks(int member, String zone) {
            return members.contains(member) || zones.contains(zone);
        }
    }

    /** Returns the number of the member that it is about, or whose finding it is. */
    default int subject() {
        return this instanceof Rumour r ? r.about() : ((Reach) this).by();
    }
}
