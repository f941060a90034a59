/**
 * Stand-ins for the outside: clients, backends and discovery that fail as told, and the {@link grebehoist.testkit.Witness}
 * to whom all of them report and who knows the four rules. They are made of Netty channels, so that the same stand-ins
 * serve on loopback sockets in real time and inside the process on virtual time. All stand-ins of a run and its witness
 * use one event loop thread.
 */
package grebehoist.testkit;
