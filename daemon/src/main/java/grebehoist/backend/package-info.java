/**
 * What transports of every protocol share that carry one attempt at a time over a connection: the backends of a pool, their
 * idle connections, and an attempt's life from the wish for a connection to its one end.
 */
package grebehoist.backend;
