/**
 * Configuration that changes while the fleet runs: the socket, the log, what operators see, and a writer's calls as JSON. What is decided is
 * in {@code grebehoist.fleet.distribution}. Loaded only where an installation file has {@code [distribution]}; docs/distribution.md.
 */
package grebehoist.distribution;
