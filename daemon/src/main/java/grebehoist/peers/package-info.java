/**
 * Datagrams between the proxies of a fleet: the socket, the settings, what operators see. What is decided is in {@code grebehoist.fleet}.
 * Loaded only where the platform's settings allow messages between proxies, or an installation file has {@code [membership]}.
 */
package grebehoist.peers;
