package grebehoist.operations;

/**
 * What one process of a proxy sees of the others.
 *
 * @param others how many others live, but for those that only finish what has begun
 * @param newer whether one of them began after this one
 * @param newerServes whether such a one serves, or is about to
 * @param finishingSockets descriptors that are held by those that have given up their place, and finish long answers
 */
public record ProcessCount(int others, boolean newer, boolean newerServes, int finishingSockets) {}
