/**
 * What connections and timers are made of: the sockets of this machine, or channels inside the process; and the count
 * that keeps a process under its limit of descriptors. No protocol, no decision.
 */
package grebehoist.net;
