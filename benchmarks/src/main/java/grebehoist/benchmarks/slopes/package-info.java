/**
 * How a figure grows with size: measured at four sizes or more over a factor of at least 30, with a fit and what it leaves unexplained.
 * {@code docs/CAPACITY.md} rests on it.
 */
package grebehoist.benchmarks.slopes;
