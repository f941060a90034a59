/**
 * The fault search: draws scripts of failures from a seed, plays each against the real proxy between the testkit's
 * stand-ins on virtual time, and shrinks one that breaks a rule. docs/testing.md tells how to use it.
 */
package grebehoist.search;
