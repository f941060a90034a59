package grebehoist.fleet.membership;

import java.util.List;

/** What the operators, and whoever builds on this, are told. */
public sealed interface Change {
    /**
     * The view of one member has changed.
     *
     * @param doubters the numbers of those that did not reach it, where that is the cause
     * @param why how it came to this, for a person
     */
    record Viewed(int member, State state, long incarnation, List<Integer> doubters, String why) implements Change {}

    /** A member has told whom it does not reach, or that it reaches all. */
    record Reaches(News.Reach reach) implements Change {}

    /** This process was stopped, and has gone on. */
    record Away(long forUs) implements Change {}

    /** It has heard from somebody since it started or was stopped: what it holds is of the present. */
    record Present(boolean is) implements Change {}

    /** Nobody answers this process, or somebody does again. */
    record CutOff(boolean is) implements Change {}

    /** This process hears others, who speak of it as if it did not object, or they hear it again. */
    record NotHeard(boolean is) implements Change {}

    /** Two processes seem to have this number. */
    record Twin(int member, String why) implements Change {}

    /**
     * How many share the load.
     *
     * @param members how many are alive, this one among them
     * @param sharedBy the largest fleet that this may be
     * @param rank this one's place among them, from 0
     */
    record Count(int members, int sharedBy, int rank) implements Change {}
}
