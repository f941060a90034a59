/** What a decision, a request and a hop cost. docs/benchmarks.md has the figures and the commands. */
package grebehoist.benchmarks;
