/**
 * Who is there: SWIM (Das, Gupta, Motivala 2002) with suspicion and Lifeguard's local health (Dadgar, Phillips, Currey 2017), and beyond
 * them pauses, one-sided cuts and splits. Events and a time in, messages and changes out. docs/membership.md is the page.
 */
package grebehoist.fleet.membership;
