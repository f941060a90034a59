/**
 * Leases for tasks that one proxy of the fleet is to do: a majority of a fixed set of voters grants, nothing is on a disk, and no clocks are
 * in common (PaxosLease, Trencseni 2012). {@link grebehoist.fleet.lease.Protocol} is all that safety rests on: functions on immutable values,
 * so that a search can go through every state of them. docs/leases.md is the page.
 */
package grebehoist.fleet.lease;
