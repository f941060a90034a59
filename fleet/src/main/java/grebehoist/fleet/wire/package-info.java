/**
 * The way between proxies: datagrams of at most 256 bytes that prove who sent them, to which life of whom, and once. What they carry is
 * for the packages that speak over it. No clock, thread or socket: bytes and a time in, bytes out. docs/membership.md is the page.
 */
package grebehoist.fleet.wire;
