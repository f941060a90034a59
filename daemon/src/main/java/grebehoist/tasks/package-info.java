/**
 * What a holder of a lease does: calls that the fleet makes once, not every proxy. Who holds what is decided in {@code grebehoist.fleet.lease};
 * what to call next in {@link grebehoist.tasks.Runs}. Loaded only where an installation file has {@code [[task]]}.
 */
package grebehoist.tasks;
